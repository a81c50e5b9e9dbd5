// Package modelcheck is an explicit-state model checker for the consensus protocol of the control state: it explores every
// order of events in small clusters, within given bounds, and checks the invariants in each state.
//
// A world is a global state: the members, the proposers and the messages in transit. Each enabled action (a delivery, a
// duplicate, a sync, a crash, a lost disk, a proposer that abandons an attempt, a clock tick) leads to another world.
// Message loss needs no action: a lost message is one that is never delivered, and a proposer may abandon an attempt at any
// moment. Members and proposers use the production functions of internal/keystore (see Rules). The model reimplements only
// the order of a proposer's rounds, which keystore.Store expresses as blocking calls.
//
// Worlds are visited breadth first, so a trace to a violation has minimal length. Local states are interned and numbered,
// and the transition of a local state on a message is memoized, which allows millions of worlds per minute.
//
// Start reading with Scenario, then Search. invariants.go has the invariants, rounds.go the proposer.
package modelcheck
