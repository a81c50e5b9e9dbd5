package modelcheck_test

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/modelcheck"
)

// plantedFault is a broken rule and the scenario that must show it.
type plantedFault struct {
	name     string
	scenario modelcheck.Scenario
	plant    func(rules *modelcheck.Rules)
}

const (
	localMembershipKey = "!members"
)

func votesRightAfterWipe(rules *modelcheck.Rules) {
	rules.WipedRegisters = func(incarnation uint64, membership keystore.Membership) []keystore.Register {
		return keystore.BootstrapRegisters(membership, incarnation)
	}
}

func answersBeforeSync(rules *modelcheck.Rules) {
	rules.WaitsForSync = func([]keystore.Register) bool { return false }
}

func countsOnlyCurrentMajority(rules *modelcheck.Rules) {
	rules.CountVotes = func(membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc) (bool, bool) {
		membership.Next = nil
		return keystore.CountVotes(membership, replies, agrees)
	}
}

func countsSilenceAsAgreement(rules *modelcheck.Rules) {
	rules.CountVotes = func(membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc) (bool, bool) {
		_, possible := keystore.CountVotes(membership, replies, agrees)
		return possible && len(replies) > 0, possible
	}
}

func installsStaleMembership(rules *modelcheck.Rules) {
	rules.Install = func(state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time) (keystore.Reply, []keystore.Register) {
		blind := state.Clone()
		delete(blind.Registers, localMembershipKey)
		return blind.Install(read, now)
	}
}

func reusesProposalNumbers(rules *modelcheck.Rules) {
	rules.ProposalNumber = func(round uint64, member string, _ uint64) keystore.ProposalNumber {
		return keystore.ProposalNumber{Round: round, Proposer: member}
	}
}

func countsFreshnessFromReply(rules *modelcheck.Rules) {
	rules.IsFresh = func(_, answered, now time.Time, length time.Duration) bool { return now.Before(answered.Add(length)) }
}

func keepsFreshnessOverFreeze(rules *modelcheck.Rules) {
	rules.IsFresh = func(_, _, _ time.Time, _ time.Duration) bool { return true }
}

func countsLeasesByWallClock(rules *modelcheck.Rules) {
	rules.Clock = func(steady time.Time, dayOffset time.Duration) time.Time { return steady.Add(dayOffset) }
}

func countsAnyAcceptance(rules *modelcheck.Rules) {
	rules.CountsAcceptance = func(owner keystore.Ownership, address string, reply keystore.Reply) bool {
		promised, counted := owner.AcceptMessage(keystore.Register{}).DiskIncarnations[address]
		return reply.Granted && (!counted || promised == reply.DiskIncarnation)
	}
}

func ignoresOwnDiskLoss(rules *modelcheck.Rules) {
	rules.Step = func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register) {
		message.DiskIncarnations = maps.Clone(message.DiskIncarnations)
		delete(message.DiskIncarnations, state.Address)
		return state.Step(message, now, durable)
	}
}

func ignoresDiskIncarnations(rules *modelcheck.Rules) {
	rules.Step = func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register) {
		message.DiskIncarnations = nil
		return state.Step(message, now, durable)
	}
}

func skipsRecommit(rules *modelcheck.Rules) {
	rules.NeedsRecommit = func(keystore.Ownership) bool { return false }
}

func promisesLeasesAfterInstall(rules *modelcheck.Rules) {
	rules.Install = func(state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time) (keystore.Reply, []keystore.Register) {
		reply, changes := state.Install(read, now)
		state.LeasesBlockedUntil = time.Time{}
		return reply, changes
	}
}

// readsUnconfirmed lets an owner read again without a majority's confirmation.
func readsUnconfirmed(rules *modelcheck.Rules) {
	rules.Step = func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register) {
		reply, changes := state.Step(message, now, durable)
		if message.Operation == keystore.OperationRenew {
			reply.Granted = true
		}
		return reply, changes
	}
}

// judgesChangedReplies changes the replies on which a bootstrap is judged; members without one count with an empty one.
func judgesChangedReplies(rules *modelcheck.Rules, change func(address string, reply keystore.Reply) keystore.Reply) {
	rules.EvaluateBootstrap = func(self string, founding keystore.Membership, replies map[string]keystore.Reply) keystore.BootstrapVerdict {
		judged := map[string]keystore.Reply{}
		for _, address := range founding.Current {
			judged[address] = change(address, replies[address])
		}
		founding.Version = keystore.BootstrapVersion
		return keystore.EvaluateBootstrap(self, founding, judged)
	}
}

// bootstrapsWithoutUnanswered takes a member that did not answer for one that never voted.
func bootstrapsWithoutUnanswered(rules *modelcheck.Rules) {
	judgesChangedReplies(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		if reply.DiskIncarnation == 0 {
			return keystore.Reply{
				Rejection:  keystore.RejectedNotVoting,
				NeverVoted: true,
				Seeds:      modelcheck.BootstrapWithUnreachableMember().Membership.Current,
			}
		}
		return reply
	})
}

func bootstrapsAfterCompletion(rules *modelcheck.Rules) {
	judgesChangedReplies(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		reply.BootstrapCompleted = false
		return reply
	})
}

func bootstrapsUnderAnyMembership(rules *modelcheck.Rules) {
	judgesChangedReplies(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		if reply.Membership.Version > 0 {
			reply.Membership.Version = keystore.BootstrapVersion
		}
		return reply
	})
}

// answersWithoutRecordingIncarnation does not record who was answered that this member never voted.
func answersWithoutRecordingIncarnation(rules *modelcheck.Rules) {
	rules.Step = func(
		state *keystore.AcceptorState, message keystore.Message, now time.Time, durable map[string]keystore.Register,
	) (keystore.Reply, []keystore.Register) {
		reply, changes := state.Step(message, now, durable)
		if reply.NeverVoted {
			changes = nil
		}
		return reply, changes
	}
}

// takesBackByNextMembers counts the votes of the next members where those of the current ones decide.
func takesBackByNextMembers(rules *modelcheck.Rules) {
	rules.RollbackElectorate = func(joint keystore.Membership) keystore.Membership {
		return keystore.Membership{Version: joint.Version, Current: joint.Next}
	}
}

// takesBackOverCompletion takes back a joint membership although a completion was found.
func takesBackOverCompletion(rules *modelcheck.Rules) {
	rules.ProposeRollback = func(owner keystore.Ownership, joint keystore.Membership) (keystore.Register, error) {
		value, err := json.Marshal(joint.RolledBack())
		return owner.NextProposal(value), err
	}
}

// completesByNextMembers counts the votes of the next members alone under a joint membership, also after it was taken back.
func completesByNextMembers(rules *modelcheck.Rules) {
	rules.CountVotes = func(membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc) (bool, bool) {
		if membership.IsJoint() {
			membership.Current, membership.Next = membership.Next, nil
		}
		return keystore.CountVotes(membership, replies, agrees)
	}
}

var plantedFaults = []plantedFault{
	{"silent founder counted as one that never voted", modelcheck.BootstrapWithUnreachableMember(), bootstrapsWithoutUnanswered},
	{"second founding after the first was completed", modelcheck.DiskLossAfterBootstrap(), bootstrapsAfterCompletion},
	{"founding under a later member list", modelcheck.BootstrapMembershipChanged(), bootstrapsUnderAnyMembership},
	{"testimony not tied to a life", modelcheck.BootstrapWithWipe(), answersWithoutRecordingIncarnation},
	{"vote after a wipe at once", modelcheck.WipeSeen(), votesRightAfterWipe},
	{"answer before the sync", modelcheck.CrashBetweenWrites(), answersBeforeSync},
	{"one majority in a joint change", modelcheck.JointMajorities(), countsOnlyCurrentMajority},
	{"taken back by the next members", modelcheck.ChangeAfterRollback(), takesBackByNextMembers},
	{"taken back over a completion", modelcheck.RollbackDuringCompletion(), takesBackOverCompletion},
	{"votes of the next members counted beside a take-back", modelcheck.RollbackDuringCompletion(), completesByNextMembers},
	{"vote after a wipe at once, of five members", modelcheck.FiveWithWipe(), votesRightAfterWipe},
	{"taken back over a completion, two joining", modelcheck.TwoJoiningTwice(), takesBackOverCompletion},
	{"silence as agreement", modelcheck.TwoProposers(), countsSilenceAsAgreement},
	{"stale member list installed at catch-up", modelcheck.MembershipDuringCatchUp(), installsStaleMembership},
	{"ballot reused by the next life", modelcheck.Restart(), reusesProposalNumbers},
	{"freshness counted from the answer", modelcheck.FreshDigest(), countsFreshnessFromReply},
	{"freshness kept over a freeze", modelcheck.FreshDigest(), keepsFreshnessOverFreeze},
	{"renewal granted under a higher promise", modelcheck.OwnerReads(), readsUnconfirmed},
	{"lease by the time of day", modelcheck.LeaseReleased(), countsLeasesByWallClock},
	{"accept that ignores incarnations", modelcheck.WipeSeen(), ignoresDiskIncarnations},
	{"write counted at members that promised nothing", modelcheck.WipeBetweenWrites(), countsAnyAcceptance},
	{"member that does not know its own lost disk", modelcheck.WipeHalfWritten(), ignoresOwnDiskLoss},
	{"owner that skips the recommit", modelcheck.ThreeProposers(), skipsRecommit},
	{"newcomer that promises leases at once", modelcheck.LeaseWiped(), promisesLeasesAfterInstall},
}

func TestSearch_FindsPlantedFaults(t *testing.T) {
	for _, planted := range plantedFaults {
		t.Run(planted.name, func(t *testing.T) {
			rules := modelcheck.ProductionRules()
			planted.plant(&rules)
			report := modelcheck.Search(t.Context(), planted.scenario, rules, modelcheck.Limits{})
			t.Log(report)
			assert.Assert(t, report.Violation != "", "not found in all %d states", report.States)
		})
	}
}
