// Package loadbudget limits the rate of loads from the model store across all holders of the placement lease.
//
// A LoadLog counts the loads that may have started within a sliding window. A Budget adds a reservation: an upper bound of
// that count, stored in the lease's record, by which the next holder of the lease counts the loads that this holder may have
// started.
//
// The package performs no IO, reads no clock and knows nothing of replicas: time and bounds are arguments, and the caller
// writes the reservations that Budget.Propose asks for. No type is safe for concurrent use. docs/design/load-budget.md argues
// why the bound holds. Start reading at Budget.
package loadbudget
