package explore_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/explore"
	"ferryspar/internal/keystore"
)

// fault is a broken rule and the scenario that must show it.
type fault struct {
	name     string
	scenario explore.Scenario
	plant    func(rules *explore.Rules)
}

const (
	listKey = "!members"
)

func votesAtOnce(rules *explore.Rules) {
	rules.Wiped = func(incarnation uint64, members keystore.Members) []keystore.Slot {
		return keystore.FreshSlots(members, incarnation)
	}
}

func answersBeforeSync(rules *explore.Rules) {
	rules.Waits = func([]keystore.Slot) bool { return false }
}

func countsOneMajority(rules *explore.Rules) {
	rules.Agreed = func(members keystore.Members, replies map[string]keystore.Reply, agrees func(string, keystore.Reply) bool) (bool, bool) {
		members.Next = nil
		return keystore.Tally(members, replies, agrees)
	}
}

func takesSilenceForAgreement(rules *explore.Rules) {
	rules.Agreed = func(members keystore.Members, replies map[string]keystore.Reply, agrees func(string, keystore.Reply) bool) (bool, bool) {
		_, possible := keystore.Tally(members, replies, agrees)
		return possible && len(replies) > 0, possible
	}
}

func installsStaleList(rules *explore.Rules) {
	rules.Install = func(state *keystore.MemberState, read keystore.CatchUp, now time.Time) (keystore.Reply, []keystore.Slot) {
		blind := state.Clone()
		delete(blind.Slots, listKey)
		return blind.Install(read, now)
	}
}

func reusesBallots(rules *explore.Rules) {
	rules.Ballot = func(round uint64, member string, _ uint64) keystore.Ballot {
		return keystore.Ballot{Round: round, Member: member}
	}
}

func countsFreshnessFromTheAnswer(rules *explore.Rules) {
	rules.Fresh = func(_, answered, now time.Time, length time.Duration) bool { return now.Before(answered.Add(length)) }
}

func keepsFreshnessOverAFreeze(rules *explore.Rules) {
	rules.Fresh = func(_, _, _ time.Time, _ time.Duration) bool { return true }
}

func countsLeasesByTheTimeOfDay(rules *explore.Rules) {
	rules.Clock = func(steady time.Time, dayOffset time.Duration) time.Time { return steady.Add(dayOffset) }
}

func countsAnyMember(rules *explore.Rules) {
	rules.Accepts = func(owner keystore.Ownership, address string, reply keystore.Reply) bool {
		promised, counted := owner.AcceptMessage(keystore.Slot{}).Incarnations[address]
		return reply.Granted && (!counted || promised == reply.Incarnation)
	}
}

func forgetsItsOwnLoss(rules *explore.Rules) {
	rules.Step = func(
		state *keystore.MemberState, message keystore.Message, now time.Time, durable map[string]keystore.Slot,
	) (keystore.Reply, []keystore.Slot) {
		message.Incarnations = maps.Clone(message.Incarnations)
		delete(message.Incarnations, state.Address)
		return state.Step(message, now, durable)
	}
}

func ignoresIncarnations(rules *explore.Rules) {
	rules.Step = func(
		state *keystore.MemberState, message keystore.Message, now time.Time, durable map[string]keystore.Slot,
	) (keystore.Reply, []keystore.Slot) {
		message.Incarnations = nil
		return state.Step(message, now, durable)
	}
}

func skipsTheRecommit(rules *explore.Rules) {
	rules.Carries = func(keystore.Ownership) bool { return false }
}

func promisesLeasesAtOnce(rules *explore.Rules) {
	rules.Install = func(state *keystore.MemberState, read keystore.CatchUp, now time.Time) (keystore.Reply, []keystore.Slot) {
		reply, changes := state.Install(read, now)
		state.QuietUntil = time.Time{}
		return reply, changes
	}
}

// readsUnconfirmed lets an owner read again without the word of a majority.
func readsUnconfirmed(rules *explore.Rules) {
	rules.Step = func(
		state *keystore.MemberState, message keystore.Message, now time.Time, durable map[string]keystore.Slot,
	) (keystore.Reply, []keystore.Slot) {
		reply, changes := state.Step(message, now, durable)
		if message.Operation == keystore.OperationRenew {
			reply.Granted = true
		}
		return reply, changes
	}
}

// foundsOn changes the answers on which founding is judged; silent founders count as given by blank.
func foundsOn(rules *explore.Rules, change func(address string, reply keystore.Reply) keystore.Reply) {
	rules.Founding = func(self string, founding keystore.Members, replies map[string]keystore.Reply) keystore.FoundingVerdict {
		judged := map[string]keystore.Reply{}
		for _, address := range founding.Present {
			judged[address] = change(address, replies[address])
		}
		founding.Number = keystore.FoundingNumber
		return keystore.JudgeFounding(self, founding, judged)
	}
}

// foundsWithoutTheSilent takes a founder that did not answer for one that never voted.
func foundsWithoutTheSilent(rules *explore.Rules) {
	foundsOn(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		if reply.Incarnation == 0 {
			return keystore.Reply{Refusal: keystore.RefusedNotVoting, NeverVoted: true, Seeds: explore.FoundingWithoutOne().Members.Present}
		}
		return reply
	})
}

func foundsAfterTheEnd(rules *explore.Rules) {
	foundsOn(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		reply.Completed = false
		return reply
	})
}

func foundsUnderAnyList(rules *explore.Rules) {
	foundsOn(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		if reply.Members.Number > 0 {
			reply.Members.Number = keystore.FoundingNumber
		}
		return reply
	})
}

// testifiesWithoutALife leaves it unnoted who was told that this member never voted.
func testifiesWithoutALife(rules *explore.Rules) {
	rules.Step = func(
		state *keystore.MemberState, message keystore.Message, now time.Time, durable map[string]keystore.Slot,
	) (keystore.Reply, []keystore.Slot) {
		reply, changes := state.Step(message, now, durable)
		if reply.NeverVoted {
			changes = nil
		}
		return reply, changes
	}
}

var faults = []fault{
	{"silent founder counted as one that never voted", explore.FoundingWithoutOne(), foundsWithoutTheSilent},
	{"second founding after the first was completed", explore.FoundingLongAgo(), foundsAfterTheEnd},
	{"founding under a later member list", explore.FoundingListChanged(), foundsUnderAnyList},
	{"testimony not tied to a life", explore.FoundingWithWipe(), testifiesWithoutALife},
	{"vote after a wipe at once", explore.WipeSeen(), votesAtOnce},
	{"answer before the sync", explore.CrashBetweenWrites(), answersBeforeSync},
	{"one majority in a joint change", explore.JointMajorities(), countsOneMajority},
	{"silence as agreement", explore.TwoProposers(), takesSilenceForAgreement},
	{"stale member list installed at catch-up", explore.ListDuringCatchUp(), installsStaleList},
	{"ballot reused by the next life", explore.Restart(), reusesBallots},
	{"freshness counted from the answer", explore.FreshLooks(), countsFreshnessFromTheAnswer},
	{"freshness kept over a freeze", explore.FreshLooks(), keepsFreshnessOverAFreeze},
	{"renewal granted under a higher promise", explore.OwnerReads(), readsUnconfirmed},
	{"lease by the time of day", explore.LeaseReleased(), countsLeasesByTheTimeOfDay},
	{"accept that ignores incarnations", explore.WipeSeen(), ignoresIncarnations},
	{"write counted at members that promised nothing", explore.WipeBetweenWrites(), countsAnyMember},
	{"member that does not know its own lost disk", explore.WipeHalfWritten(), forgetsItsOwnLoss},
	{"owner that skips the recommit", explore.ThreeProposers(), skipsTheRecommit},
	{"newcomer that promises leases at once", explore.LeaseWiped(), promisesLeasesAtOnce},
}

func TestGivenAPlantedFaultThenTheWalkFindsIt(t *testing.T) {
	for _, one := range faults {
		t.Run(one.name, func(t *testing.T) {
			rules := explore.Product()
			one.plant(&rules)
			report := explore.Search(t.Context(), one.scenario, rules, explore.Limits{})
			t.Log(report)
			assert.Assert(t, report.Violation != "", "not found in all %d states", report.States)
		})
	}
}
