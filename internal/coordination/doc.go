// Package coordination implements the primitives that applications coordinate with: locks with fencing tokens, counters, and
// groups of keys with watches.
//
// Each lock, counter and group of keys is an Item: a deterministic state machine whose Apply executes one call at a given time.
// An item is owned by one process at a time, which stores its Value on a majority of disks before it answers a call that changed
// it (keystore.Store.Operate, internal/controlplane/coordinator). The package does no IO and reads no clock.
//
// Start reading at Item, then Lock, Counter and Group. docs/design/coordination.md argues why the protocol is safe.
package coordination
