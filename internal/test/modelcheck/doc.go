// Package modelcheck is a model checker: it walks every order of events in small fleets of the control state and checks that
// the agreement holds in each.
//
// A world is the members, the proposers and the messages between them. Each action that is possible in it (a delivery, a
// duplicate, a sync, a crash, a lost disk, a proposer that gives up, a step of time) leads to another world. Loss is a
// message that is not delivered: no action waits for one, since a proposer may give up at any moment. Members and
// proposers decide by the very functions of internal/keystore (see Rules); nothing of the protocol is written a second
// time but the order of a proposer's rounds, which keystore.Store has in its calls.
//
// Worlds are visited breadth first, so the trace to a violation is a shortest one. Local states are kept once and
// numbered, and what a local state does on a message is computed once: this is what makes millions of worlds a minute
// possible.
//
// Start reading with Scenario, then Search. invariants.go has what is checked, rounds.go the proposer.
package modelcheck
