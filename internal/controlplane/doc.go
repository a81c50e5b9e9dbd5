// Package controlplane assembles and runs a control-plane node. The node stores the configuration, zone evacuations, drills and
// context retention in the replicated keystore, publishes them and the replicas to the data planes, aggregates the load that the
// data planes report, and, while it holds the placement lease, orders replicas to load and unload models.
//
// It serves no client requests and does not choose the replica for a request; the data planes do. It does not answer from state
// that a majority has not recently confirmed, and sends no order to a replica without a lease that remains valid for long enough.
//
// This package only wires components together: it contains New and Node.Run, the routes for other nodes, the methods behind the
// admin API, and the status. Each component owns its state in a subpackage, none of which imports this package, and accesses the
// node through an interface that is implemented in a file named ..._host.go:
//
//   - members: heartbeats among control planes, joining, membership changes, leaving
//   - dataplanes: which data planes are in contact, and what each has applied
//   - applier: applies committed state to the published snapshot and confirms it with a majority
//   - watch: the snapshot, endpoint sets, and the data planes' long polls
//   - demand: the load that data planes report, aggregated over all control planes
//   - roster: the platform's list of replicas, shared among control planes
//   - scheduler, replicatracker: the placement lease, plans and orders; the observed state of each replica
//   - drillcontrol: drills and forecasts of the loss of a zone or region
package controlplane
