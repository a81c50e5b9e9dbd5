// Package routing decides which replica serves a request. It implements the routing policy of one data plane:
// micro-batching, the ledger of cached prompt prefixes, latency prediction, assignment by min-cost max-flow,
// the queue of requests that no replica can serve yet, and health tracking of replicas.
//
// It performs no input or output except log lines: it neither calls replicas nor reads from the network, and
// does not decide which models are loaded where (package placement does). It receives the state of the fleet
// through the Snapshot in an atomic pointer, requests through Submit, and their outcomes through Report.
// Time comes from the clock that is passed to NewMatcher.
//
// A backend may be disaggregated: each of its replicas then has one phase, prefill or decode. A prefill replica
// computes the KV cache of a prompt and holds it under a handle; a decode replica fetches the KV cache and
// generates the tokens. The matcher chooses both replicas together. Replicas of other backends do both phases.
// File names and docs/design/split.md call such a backend split.
//
// All mutable state belongs to the goroutine of Matcher.Run, except that of a Drill, which has a lock.
// Other goroutines use only the methods of inbox.go and Forecast. The emulator and the replay engine run
// the same code on one goroutine without Run: see synchronous.go.
//
// The state of a Matcher is divided by owner:
//
//   - waitQueue: the undecided requests, and when they must be tried (waitqueue.go), with fair queueing of tenants (fairness.go);
//   - replicaTable and replicaState: this data plane's requests at each replica (replicatable.go, replicastate.go), with the
//     replica's Predictor (predictor.go);
//   - PrefixLedger: which replica should have which prompt prefix cached (ledger.go, forget.go, samples.go);
//   - demandCounters: the demand by model for load reports (loadreport.go);
//   - health: outcomes, circuit breakers and suspected zones (health.go, outcomecounter.go, breaker.go,
//     ejection.go, zones.go, review.go; docs/design/health.md);
//   - assignmentGraph and flowSolver: the batch that is being decided (graph.go, flow.go);
//   - modelPrefillFactors: the relative prefill times of models (prefillfactor.go);
//   - stepModels: the latency models of disaggregated backends (phase.go).
//
// A Decision is not yet a permission to send: Snapshot.Admit checks it against the current snapshot and returns the Target
// that forwarders need (target.go). After a prefill the decode replica is checked again (completedprefill.go).
//
// Start reading at matcher.go (the event loop), queue.go (a request enters, waits and leaves), assign.go
// (one batch is decided), score.go (the weight of one pair of request and replica) and reports.go (the effects of
// an outcome). disaggregation.go and disaggregationreports.go add disaggregated backends, rendezvous.go chooses their candidates, and
// shed.go rejects some of their requests under overload. slotshare.go and warmup.go compute this data plane's share
// of a replica's slots and of its warm-up rate. forecast.go, forecast_route.go and fork.go forecast the loss of a
// region; drill.go and drill_record.go rehearse it (docs/design/rehearsal.md).
//
// Of the IEMAS paper (arXiv 2603.17302) the package implements the micro-batch and joint decision of §4 and
// figure 2, the affinity of §4.1 eq. 4, the predictor inputs of eq. 5 with the update loop of §4.1, the
// value and weight of eq. 1 and 7, and the exact assignment of §4.2 and theorem 4.1 under the capacities
// of eq. 2. It has no auction: there are no bids and no payments (eq. 8). docs/design/routing-policy.md
// describes the differences and their reasons.
package routing
