// Package loadbudget keeps the rate of loads from the weight store within its bound across all holders of
// the placement lease.
//
// A LoadLog counts the loads that may have started within a trailing window. A Budget adds the reservation:
// an upper bound of that count which stands in the lease's record, so that whoever holds the lease next can
// count the loads that this holder may have started. Everything here is pure: the clock and the bounds are
// arguments, and the caller writes the reservations that Budget.Propose asks for.
//
// The package never writes a record, never reads a clock and knows nothing of replicas. No type is safe
// for concurrent use. docs/design/load-budget.md argues why the bound holds. Start reading at Budget.
package loadbudget
