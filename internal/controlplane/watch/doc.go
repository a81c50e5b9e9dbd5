// Package watch publishes the state of a control plane to data planes.
//
// The state is an immutable Snapshot, which a Publisher replaces as a whole at each change. Beside it, an
// EndpointPublisher cuts the list of replicas into one endpoint set for each model, so that a data plane is sent only
// the sets that it has subscribed to. A Server answers the data planes' long polls and subscriptions from both.
//
// The package decides nothing about the fleet: it neither commits state nor asks members for confirmation, but sends
// what it was given, together with how long ago a majority confirmed it. A data plane relies on the state only while
// that confirmation counts (peer.ConfirmationLease); without this, a control plane that was cut off from the majority
// could keep a replaced configuration in force.
//
// Start reading at Snapshot and Server.HandleWatch.
package watch
