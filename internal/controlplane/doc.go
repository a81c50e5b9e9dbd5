// Package controlplane puts a control-plane node together and runs it. The node keeps the configuration,
// the zones' evacuations, drills and context rules in the replicated keystore, publishes them and the
// replicas to the data planes, adds up the loads that they report, and, while it holds the placement
// lease, orders replicas what to load and unload.
//
// It never serves clients' requests and never decides which replica a request goes to; that is the data
// planes' part. It does not answer from state that a majority has not confirmed lately, and sends no order
// to a replica without a lease that lasts long enough.
//
// This package holds the wiring only: New and Node.Run, the routes for other nodes, the calls of the admin
// API, and status. Each part owns its state in a package below, none of which imports this one, and sees
// the node through an interface that a ..._host.go file implements:
//
//   - members: heartbeats among control planes, joining, membership changes, leaving
//   - dataplanes: which data planes are in contact, and what each applies
//   - applier: applies committed state to the published snapshot and confirms it with a majority
//   - watch: the snapshot, endpoint sets, and the data planes' long polls
//   - demand: the loads that data planes report, added up over all control planes
//   - roster: the platform's list of replicas, shared among control planes
//   - scheduler, replicatracker: the placement lease, plans and orders; what is known of each replica
//   - drillcontrol: drills and forecasts of the loss of a zone or region
package controlplane
