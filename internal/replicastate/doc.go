// Package replicastate is what the holder of the placement lease knows of one replica: which models and adapters it certainly
// has loaded, which it possibly has, and which order to it is under way.
//
// A Replica belongs to one grant of the lease and ends with it: nothing that was learned under one grant is used under
// another. It is pure: it sends nothing, reads no clock, and changes only by the calls of its owner, which passes in the
// time. An Order names the replica's sequence that it was decided on, so that the replica itself rejects it when anything
// else has been carried out since (compare-and-set). Two orders decided on one sequence therefore never both happen.
//
// What a replica may have loaded is bounded from both sides, over every state that is still possible: loads go by the upper
// bound (CertainlyLoaded and PossiblyLoaded together), so that no replica is loaded beyond its capacity; requests go by the
// lower one.
//
// The package does not decide what to load; it says when something may be ordered and by which bounds. Start reading at
// Replica.
package replicastate
