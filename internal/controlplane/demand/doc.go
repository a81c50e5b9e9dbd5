// Package demand aggregates load and demand over the fleet.
//
// Data planes report their load to one control plane each. There a LoadAggregator sums the reports; an Exchange sends the
// sums to all other control planes, so that each data plane can be answered with the load that all others put on the
// replicas it uses, and sends the demand for models to the holder of the placement lease. The holder's DemandAggregator
// sums the demand of all control planes for the scheduler.
//
// All of this is soft state: it isn't stored, and is replaced or expires within a second or two. The one thing that must
// not be counted twice or lost is arrivals of requests: they travel in numbered batches, which are sent again until they
// are known to have been received, and are counted once.
//
// The package decides nothing about placement or routing. Start reading at Exchange and LoadAggregator.
package demand
