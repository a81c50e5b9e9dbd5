// Package replicatracker follows the replicas of the fleet for the holder of the placement lease. For each replica it keeps
// three views together: what the platform's list says (listed), what the replica reported itself (observed), and which order
// to it is under way (ordered). Package replicastate is the state machine of one replica; this package holds one per replica
// and relates it to the list.
//
// Tracker is used by the scheduler's goroutine alone. DiskInventory and Observations are the two parts that other goroutines
// use as well; each has a lock of its own.
//
// The package never sends anything, never reads a clock and never decides what to load. Start reading at Tracker.
package replicatracker
