// Package replicastate is what the holder of the placement lease knows of one replica: which models and adapters it
// surely holds, which it may hold, and which order to it is under way.
//
// A Replica belongs to one grant of the lease and ends with it: nothing that was learned under one grant is used under
// another. It is pure: it never sends anything, never reads a clock, and changes only by the calls of its owner, which
// passes in the time. An Order names the replica's sequence on which it was decided, so that the replica itself refuses
// it when anything else has been carried out since (compare-and-set). Two orders decided on one sequence therefore never
// both happen.
//
// It does not decide what to load; it says when something may be ordered and by which bounds. Start reading at Replica.
package replicastate
