// Package dataplane implements the data-plane node: it accepts clients' requests, routes each to a replica, watches the control
// plane for configuration and endpoints, and reports its load.
//
// The data plane never changes the configuration, the state of zones or the models that replicas have loaded. It stores nothing
// but an optional request log, and it is not ready before it has adopted a configuration that a majority of the control plane has
// confirmed.
//
// Entry points are New and Node.Run. Watcher keeps a long poll open to every control-plane node; FleetState merges the responses
// into the routing.Snapshot by which requests are routed; Quotas enforces the rate limits of tenants.
package dataplane
