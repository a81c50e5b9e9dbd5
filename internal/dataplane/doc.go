// Package dataplane is the data-plane daemon. It serves clients' requests by way of the matcher and
// the forwarder, follows the news of the control planes, and reports its load to one of them.
//
// It never changes the configuration, the zones or what replicas have loaded, stores nothing but an
// optional recording, and is not ready before it has a configuration that a majority of the control
// planes has confirmed.
//
// Start reading at New and Node.Run. FleetState turns the news into the fleet that the matcher
// sees, Watcher asks the control planes for news, and Interest tells which models to follow.
package dataplane
