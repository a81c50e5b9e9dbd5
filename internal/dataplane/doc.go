// Package dataplane is the data-plane node: it accepts clients' requests, routes each to a replica, watches the control
// plane for configuration and endpoints, and reports its load.
//
// It never changes the configuration, the zones or what replicas have loaded. It stores nothing but an optional request
// log, and is not ready before it has adopted a configuration that a majority of the control plane has confirmed.
//
// Start reading at New and Node.Run. Watcher keeps a long poll open at every control-plane node; FleetState turns the
// responses into the routing.Snapshot that requests are routed by; Quotas admits requests of tenants with a rate limit.
package dataplane
