package explore

import (
	"time"

	"ferryspar/internal/keystore"
)

// Rules are the functions that decide in a fleet. Product gives those of the product; tests put
// a broken one in their place.
type Rules struct {
	// Step, Install and Learn are a member's, see keystore.MemberState.
	Step func(
		state *keystore.MemberState, message keystore.Message, now time.Time, durable map[string]keystore.Slot,
	) (keystore.Reply, []keystore.Slot)
	Install func(state *keystore.MemberState, read keystore.CatchUp, now time.Time) (keystore.Reply, []keystore.Slot)
	// Founding judges the founding, see keystore.JudgeFounding.
	Founding keystore.FoundingJudge
	Learn    func(state *keystore.MemberState, chosen keystore.Slot) (keystore.Reply, []keystore.Slot)
	// Wiped is a member's first state after the loss of its disk.
	Wiped func(incarnation uint64, members keystore.Members) []keystore.Slot
	// Waits says whether an answer waits until these changes are synced.
	Waits func(changes []keystore.Slot) bool
	// Agreed counts replies: whether a quorum agrees, and whether one still may.
	Agreed func(members keystore.Members, replies map[string]keystore.Reply, agrees func(string, keystore.Reply) bool) (agreed, possible bool)
	// Carries and Accepts are a proposer's, see keystore.Ownership.
	Carries func(owner keystore.Ownership) bool
	Accepts func(owner keystore.Ownership, address string, reply keystore.Reply) bool
	// Ballot names an attempt of a life of a proposer.
	Ballot func(round uint64, member string, life uint64) keystore.Ballot
	// Fresh says whether a look may still be answered from.
	Fresh func(began, answered, now time.Time, length time.Duration) bool
	// Clock is what a machine counts leases by: steady never jumps, the time of day is off from
	// it by what the machine's clock was set by.
	Clock func(steady time.Time, dayOffset time.Duration) time.Time
}

// Product gives the rules of the product.
func Product() Rules {
	return Rules{
		Step:     (*keystore.MemberState).Step,
		Install:  (*keystore.MemberState).Install,
		Learn:    (*keystore.MemberState).Learn,
		Founding: keystore.JudgeFounding,
		Wiped:    func(incarnation uint64, _ keystore.Members) []keystore.Slot { return keystore.WipedSlots(incarnation) },
		Waits:    func(changes []keystore.Slot) bool { return len(changes) > 0 },
		Agreed:   keystore.Tally,
		Carries:  keystore.Ownership.Carries,
		Accepts:  keystore.Ownership.Accepts,
		Ballot: func(round uint64, member string, life uint64) keystore.Ballot {
			return keystore.Ballot{Round: round, Member: member, Life: life}
		},
		Fresh: func(began, _, now time.Time, length time.Duration) bool { return now.Before(began.Add(length)) },
		Clock: func(steady time.Time, _ time.Duration) time.Time { return steady },
	}
}
