// Package coordination decides on the calls by which applications coordinate: locks with fencing tokens, counters, and groups of
// keys with watches.
//
// Each lock, each counter and each group of keys is an Item: a pure state machine whose Step answers one call at a given time. An
// item is owned by one process at a time, which has its Value on a majority of disks before it answers a call that changed it
// (keystore.Store.ReadModifyWrite, internal/controlplane/coordinator). The package does no IO and reads no clock.
//
// Start reading at Item, then Lock, Counter and Group. docs/design/coordination.md has the argument why the whole is safe.
package coordination
