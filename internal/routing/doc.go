// Package routing decides which replica serves a request. It is the routing policy of one data
// plane: the micro-batch, the ledger of cached prefixes, the latency predictors, the assignment
// by min-cost max-flow, the queue of requests that no replica can take yet, and the records of
// which replicas fail.
//
// It performs no input or output but log lines: it never calls a replica, never reads the network
// and never decides which models are loaded where (package place does). It learns of the fleet through the
// snapshot in an atomic pointer, of the requests through Submit, and of their fate through
// Report. Time comes from the clock that NewMatcher is given.
//
// All mutable state belongs to the goroutine of Matcher.Run, but for that of a Drill, which has a
// lock. Other goroutines use only Submit, Report, Load, Forget, Forecast, Changed and Leave. The emulator and the
// replayer run the same code on one goroutine without Run: see synchronous.go.
//
// Where to start reading: matcher.go (the loop), queue.go (a request enters, waits and leaves),
// assign.go and graph.go (one batch is decided), flow.go (the solver), score.go (the weight of one
// pair of request and replica), reports.go (what a report changes). The rest by job: ledger.go
// (cached prefixes), predictor.go (first-token latency), share.go and cold.go (this data plane's
// part of a replica's slots and of its cold rate), health.go, tally.go, breaker.go, ejection.go and
// zones.go (failing replicas, docs/design/health.md), forecast.go and drill.go (the loss of a region
// worked out and rehearsed, docs/design/rehearsal.md).
//
// Of the IEMAS paper (arXiv 2603.17302) it implements the micro-batch and joint decision of §4 and
// figure 2, the affinity of eq. 4, the predictor inputs of eq. 5 with the update loop of §4.1, the
// value and weight of eq. 1 and 7, and the exact assignment of §4.2 and theorem 4.1. What was kept
// and what was changed is described in docs/design/routing-policy.md.
package routing
