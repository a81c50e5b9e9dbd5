package modelcheck

import (
	"time"

	"ferryspar/internal/keystore"
)

// Rules are the decision functions of the protocol. ProductionRules returns those of the product; tests replace one of them
// by a faulty version.
type Rules struct {
	// Step, Install and Learn are the functions of a member, see keystore.AcceptorState.
	Step func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register)
	Install func(
		state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time,
	) (keystore.Reply, []keystore.Register)
	Learn func(state *keystore.AcceptorState, chosen keystore.Register) (keystore.Reply, []keystore.Register)
	// EvaluateBootstrap is keystore.EvaluateBootstrap.
	EvaluateBootstrap keystore.BootstrapEvaluator
	// WipedRegisters returns the first registers of a member that has lost its disk.
	WipedRegisters func(diskIncarnation uint64, membership keystore.Membership) []keystore.Register
	// WaitsForSync reports whether a reply waits until these changes are synced.
	WaitsForSync func(changes []keystore.Register) bool
	// CountVotes reports whether a quorum agrees, and whether that is still possible.
	CountVotes func(
		membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc,
	) (agreed, possible bool)
	// NeedsRecommit and CountsAcceptance are the functions of a proposer, see keystore.Ownership.
	NeedsRecommit    func(owner keystore.Ownership) bool
	CountsAcceptance func(owner keystore.Ownership, address string, reply keystore.Reply) bool
	// RollbackElectorate and ProposeRollback are the functions of a proposer that rolls back a joint membership, see
	// keystore.Store.ChangeMembership.
	RollbackElectorate func(joint keystore.Membership) keystore.Membership
	ProposeRollback    func(owner keystore.Ownership, joint keystore.Membership) (keystore.Register, error)
	// ProposalNumber returns the proposal number of an attempt by one incarnation of a proposer.
	ProposalNumber func(round uint64, proposer string, incarnation uint64) keystore.ProposalNumber
	// IsFresh reports whether a digest is still valid.
	IsFresh func(started, answered, now time.Time, length time.Duration) bool
	// Clock returns the time by which a machine measures leases. The monotonic clock never jumps; the wall clock differs from
	// it by the total of its steps.
	Clock func(monotonic time.Time, wallClockOffset time.Duration) time.Time
}

// ProductionRules returns the rules of the product.
func ProductionRules() Rules {
	return Rules{
		Step:              (*keystore.AcceptorState).Step,
		Install:           (*keystore.AcceptorState).Install,
		Learn:             (*keystore.AcceptorState).Learn,
		EvaluateBootstrap: keystore.EvaluateBootstrap,
		WipedRegisters: func(diskIncarnation uint64, _ keystore.Membership) []keystore.Register {
			return keystore.WipedRegisters(diskIncarnation)
		},
		WaitsForSync:       func(changes []keystore.Register) bool { return len(changes) > 0 },
		CountVotes:         keystore.CountVotes,
		NeedsRecommit:      keystore.Ownership.NeedsRecommit,
		CountsAcceptance:   keystore.Ownership.CountsAcceptance,
		RollbackElectorate: keystore.RollbackElectorate,
		ProposeRollback:    keystore.Ownership.ProposeRollback,
		ProposalNumber: func(round uint64, proposer string, incarnation uint64) keystore.ProposalNumber {
			return keystore.ProposalNumber{Round: round, Proposer: proposer, Incarnation: incarnation}
		},
		IsFresh: func(started, _, now time.Time, length time.Duration) bool { return now.Before(started.Add(length)) },
		Clock:   func(monotonic time.Time, _ time.Duration) time.Time { return monotonic },
	}
}
