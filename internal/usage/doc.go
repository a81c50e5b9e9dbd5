// Package usage counts the requests of tenants in windows of wall time, so that a fleet whose processes fail, restart and change
// whom they report to counts each request once.
//
// A data plane counts for its own incarnation and never lowers a count. Counts are cumulative by incarnation, window and tenant, so
// whoever receives them keeps the highest: messages may be lost, repeated or reordered. Start reading at Ledger; Delivery sends a
// ledger's changes to one receiver, ReportState is what is stored of windows whose counts are final.
//
// The package does no input or output, and all times are arguments.
package usage
