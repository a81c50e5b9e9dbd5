package modelcheck

import (
	"time"

	"ferryspar/internal/keystore"
)

// Rules are the functions that decide in a fleet. ProductRules gives those of the product; tests put a broken one in their
// place.
type Rules struct {
	// Step, Install and Learn are a member's, see keystore.AcceptorState.
	Step func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register)
	Install func(
		state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time,
	) (keystore.Reply, []keystore.Register)
	Learn func(state *keystore.AcceptorState, chosen keystore.Register) (keystore.Reply, []keystore.Register)
	// EvaluateBootstrap is keystore.EvaluateBootstrap.
	EvaluateBootstrap keystore.BootstrapEvaluator
	// WipedRegisters is a member's first state after the loss of its disk.
	WipedRegisters func(diskIncarnation uint64, membership keystore.Membership) []keystore.Register
	// WaitsForSync says whether a reply waits until these changes are synced.
	WaitsForSync func(changes []keystore.Register) bool
	// CountVotes says whether a quorum agrees, and whether one still may.
	CountVotes func(
		membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc,
	) (agreed, possible bool)
	// NeedsRecommit and CountsAcceptance are a proposer's, see keystore.Ownership.
	NeedsRecommit    func(owner keystore.Ownership) bool
	CountsAcceptance func(owner keystore.Ownership, address string, reply keystore.Reply) bool
	// RollbackElectorate and ProposeTakeBack are those of a proposer that takes back a joint membership, see
	// keystore.Store.ChangeMembership.
	RollbackElectorate func(joint keystore.Membership) keystore.Membership
	ProposeRollback    func(owner keystore.Ownership, joint keystore.Membership) (keystore.Register, error)
	// ProposalNumber numbers an attempt of an incarnation of a proposer.
	ProposalNumber func(round uint64, proposer string, incarnation uint64) keystore.ProposalNumber
	// IsFresh says whether a digest may still be answered from.
	IsFresh func(started, answered, now time.Time, length time.Duration) bool
	// Clock is what a machine counts leases by: the monotonic clock never jumps, the wall clock is off from it by what it
	// was set by.
	Clock func(monotonic time.Time, wallClockOffset time.Duration) time.Time
}

// ProductionRules gives the rules of the product.
func ProductionRules() Rules {
	return Rules{
		Step:           (*keystore.AcceptorState).Step,
		Install:        (*keystore.AcceptorState).Install,
		Learn:          (*keystore.AcceptorState).Learn,
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
