package modelcheck

import (
	"time"

	"ferryspar/internal/keystore"
)

// Rules are the functions that decide in a fleet. ProductRules gives those of the product; tests put
// a broken one in their place.
type Rules struct {
	// Step, Install and Learn are a member's, see keystore.AcceptorState.
	Step func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register)
	Install func(state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time) (keystore.Reply, []keystore.Register)
	// Founding judges the founding, see keystore.JudgeBootstrap.
	JudgeBootstrap keystore.BootstrapJudge
	Learn          func(state *keystore.AcceptorState, chosen keystore.Register) (keystore.Reply, []keystore.Register)
	// Wiped is a member's first state after the loss of its disk.
	Wiped func(incarnation uint64, membership keystore.Membership) []keystore.Register
	// Waits says whether an answer waits until these changes are synced.
	WaitsForSync func(changes []keystore.Register) bool
	// Agreed counts replies: whether a quorum agrees, and whether one still may.
	CountVotes func(membership keystore.Membership, replies map[string]keystore.Reply, agrees func(string, keystore.Reply) bool) (agreed, possible bool)
	// Carries and Accepts are a proposer's, see keystore.Ownership.
	NeedsRecommit    func(owner keystore.Ownership) bool
	CountsAcceptance func(owner keystore.Ownership, address string, reply keystore.Reply) bool
	// Ballot names an attempt of a life of a proposer.
	ProposalNumber func(round uint64, member string, life uint64) keystore.ProposalNumber
	// Fresh says whether a look may still be answered from.
	IsFresh func(began, answered, now time.Time, length time.Duration) bool
	// Clock is what a machine counts leases by: steady never jumps, the time of day is off from
	// it by what the machine's clock was set by.
	Clock func(steady time.Time, dayOffset time.Duration) time.Time
}

// ProductRules gives the rules of the product.
func ProductRules() Rules {
	return Rules{
		Step:           (*keystore.AcceptorState).Step,
		Install:        (*keystore.AcceptorState).Install,
		Learn:          (*keystore.AcceptorState).Learn,
		JudgeBootstrap: keystore.JudgeBootstrap,
		Wiped: func(incarnation uint64, _ keystore.Membership) []keystore.Register {
			return keystore.WipedRegisters(incarnation)
		},
		WaitsForSync:     func(changes []keystore.Register) bool { return len(changes) > 0 },
		CountVotes:       keystore.CountVotes,
		NeedsRecommit:    keystore.Ownership.NeedsRecommit,
		CountsAcceptance: keystore.Ownership.CountsAcceptance,
		ProposalNumber: func(round uint64, member string, life uint64) keystore.ProposalNumber {
			return keystore.ProposalNumber{Round: round, Proposer: member, Incarnation: life}
		},
		IsFresh: func(started, _, now time.Time, length time.Duration) bool { return now.Before(started.Add(length)) },
		Clock:   func(steady time.Time, _ time.Duration) time.Time { return steady },
	}
}
