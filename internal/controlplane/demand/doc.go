// Package demand aggregates load and demand over the fleet.
//
// Each data plane reports its load to one control plane, whose LoadAggregator sums the reports. An Exchange sends the sums
// to all other control planes, so that each data plane's report can be answered with the load that all other data planes
// put on the replicas it uses. It also sends the demand for models to the holder of the placement lease, whose
// DemandAggregator sums the demand of all control planes for the scheduler.
//
// All of this is soft state: it isn't stored, and is replaced or expires within a second or two. Only request arrivals
// must be neither lost nor counted twice: they are sent in numbered batches, which are resent until acknowledged, and
// which the receiver deduplicates by number.
//
// The package decides nothing about placement or routing. Start reading at Exchange and LoadAggregator.
package demand
