// Package replicatracker tracks the state of the fleet's replicas for the holder of the placement lease. For each replica it
// combines the entry in the platform's list (listed), the replica's own reports (observed) and the order to it that is in
// progress (ordered). Package replicastate is the state machine of one replica; this package holds one per replica and
// reconciles it with the list.
//
// Tracker is used only by the scheduler's planning loop. DiskInventory and Observations are also used by other goroutines;
// each does its own locking.
//
// The package does no I/O, takes the time as a parameter and does not decide what to load. Start reading at Tracker.
package replicatracker
