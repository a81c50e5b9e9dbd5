// Package replicastate tracks what the holder of the placement lease knows about one replica: which models and adapters are
// certainly loaded, which are possibly loaded, and which order is in progress.
//
// A Replica belongs to one grant of the lease and is discarded with it: nothing that was learned under one grant is used
// under another. It performs no I/O and reads no clock; its owner passes in the time. An Order carries the replica's
// sequence number that it was decided on, and the replica rejects it if it has accepted another order since
// (compare-and-set). Of two orders decided on the same sequence, at most one is therefore executed.
//
// What a replica has loaded is bounded from both sides, over every state that is still possible. Loads are planned against
// the upper bound (CertainlyLoaded plus PossiblyLoaded), so that no replica is loaded beyond its capacity; requests are
// routed by the lower bound.
//
// The package does not decide what to load; it only determines when an order may be issued and within which bounds. Start
// reading at Replica.
package replicastate
