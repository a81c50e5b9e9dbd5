// Package watch publishes the state of a control plane to data planes.
//
// The state is an immutable Snapshot, which a Publisher replaces as a whole at each change. In addition, an
// EndpointPublisher splits the list of replicas into one endpoint set per model, so that a data plane is sent only the
// sets that it has subscribed to. A Server serves the data planes' long polls and subscriptions from both.
//
// The package makes no decisions about the fleet: it neither commits state nor has it confirmed by members, but sends the
// state that it was given, together with how long its confirmation by a majority remains valid. A data plane relies on
// the state only until then (peer.ConfirmationLease); otherwise a control plane that is partitioned from the majority
// could keep a replaced configuration in force.
//
// Start reading at Snapshot and Server.HandleWatch.
package watch
