// Package usage counts the requests of tenants in windows of wall-clock time. Each request is counted once, although processes
// may fail, restart and report to changing receivers.
//
// Each data plane counts for its own incarnation and never lowers a count. Counts are cumulative by incarnation, window and
// tenant, and a receiver keeps the highest value, so messages may be lost, repeated or reordered. Delivery tracks which changes
// of a Ledger a receiver holds; ReportState is the stored state of windows whose counts are final.
//
// The package does no input or output, and all times are arguments. Start reading at Ledger.
package usage
