// Package modelcheck walks every order of events in small fleets of the control state and checks
// that the agreement holds in each.
//
// It is a model checker: a World is the members, the proposers and the messages between them;
// each possible event (a delivery, a duplicate, a sync, a crash, a lost disk, a proposer that
// gives up, a step of time) leads to another World. Loss is a message that is not delivered: no
// event waits for one, since a proposer may give up at any moment. Members and proposers decide
// by the very functions of internal/keystore (see Rules); nothing of the protocol is
// written a second time but the order of a proposer's rounds, which Store has in its calls.
//
// Worlds are visited breadth first, so the trace to a violation is a shortest one. Local states
// are kept once and numbered, and what a local state does on a message is computed once: this is
// what makes millions of worlds a minute possible.
//
// Start reading with Scenario, then Search.
package modelcheck
