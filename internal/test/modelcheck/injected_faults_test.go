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

// injectedFault is a faulty rule and the scenario in which the search must find a violation.
type injectedFault struct {
	name     string
	scenario modelcheck.Scenario
	inject   func(rules *modelcheck.Rules)
}

const (
	localMembershipKey = "!members"
)

func votesImmediatelyAfterWipe(rules *modelcheck.Rules) {
	rules.WipedRegisters = func(incarnation uint64, membership keystore.Membership) []keystore.Register {
		return keystore.BootstrapRegisters(membership, incarnation)
	}
}

func repliesBeforeSync(rules *modelcheck.Rules) {
	rules.WaitsForSync = func([]keystore.Register) bool { return false }
}

func countsOnlyCurrentMajority(rules *modelcheck.Rules) {
	rules.CountVotes = func(membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc) (bool, bool) {
		membership.Next = nil
		return keystore.CountVotes(membership, replies, agrees)
	}
}

func countsMissingReplyAsAgreement(rules *modelcheck.Rules) {
	rules.CountVotes = func(membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc) (bool, bool) {
		_, possible := keystore.CountVotes(membership, replies, agrees)
		return possible && len(replies) > 0, possible
	}
}

func installsStaleMembership(rules *modelcheck.Rules) {
	rules.Install = func(state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time) (keystore.Reply, []keystore.Register) {
		withoutMembership := state.Clone()
		delete(withoutMembership.Registers, localMembershipKey)
		return withoutMembership.Install(read, now)
	}
}

func reusesProposalNumbers(rules *modelcheck.Rules) {
	rules.ProposalNumber = func(round uint64, member string, _ uint64) keystore.ProposalNumber {
		return keystore.ProposalNumber{Round: round, Proposer: member}
	}
}

func countsDigestValidityFromReply(rules *modelcheck.Rules) {
	rules.IsFresh = func(_, answered, now time.Time, length time.Duration) bool { return now.Before(answered.Add(length)) }
}

func ignoresDigestExpiry(rules *modelcheck.Rules) {
	rules.IsFresh = func(_, _, _ time.Time, _ time.Duration) bool { return true }
}

func countsLeasesByWallClock(rules *modelcheck.Rules) {
	rules.Clock = func(monotonic time.Time, wallClockOffset time.Duration) time.Time {
		return monotonic.Add(wallClockOffset)
	}
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

func grantsLeasesAfterInstall(rules *modelcheck.Rules) {
	rules.Install = func(state *keystore.AcceptorState, read keystore.CatchUpResult, now time.Time) (keystore.Reply, []keystore.Register) {
		reply, changes := state.Install(read, now)
		state.LeasesBlockedUntil = time.Time{}
		return reply, changes
	}
}

// readsUnconfirmed lets an owner read without confirmation by a majority.
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

// evaluatesModifiedReplies modifies the replies on which a bootstrap is evaluated. The reply of a member that did not answer
// is empty.
func evaluatesModifiedReplies(rules *modelcheck.Rules, change func(address string, reply keystore.Reply) keystore.Reply) {
	rules.EvaluateBootstrap = func(self string, initial keystore.Membership, replies map[string]keystore.Reply) keystore.BootstrapVerdict {
		modified := map[string]keystore.Reply{}
		for _, address := range initial.Current {
			modified[address] = change(address, replies[address])
		}
		initial.Version = keystore.BootstrapVersion
		return keystore.EvaluateBootstrap(self, initial, modified)
	}
}

// bootstrapsWithoutUnanswered treats a member that did not answer as one that never voted.
func bootstrapsWithoutUnanswered(rules *modelcheck.Rules) {
	evaluatesModifiedReplies(rules, func(_ string, reply keystore.Reply) keystore.Reply {
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
	evaluatesModifiedReplies(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		reply.BootstrapCompleted = false
		return reply
	})
}

func bootstrapsUnderAnyMembership(rules *modelcheck.Rules) {
	evaluatesModifiedReplies(rules, func(_ string, reply keystore.Reply) keystore.Reply {
		if reply.Membership.Version > 0 {
			reply.Membership.Version = keystore.BootstrapVersion
		}
		return reply
	})
}

// repliesWithoutRecordingIncarnation does not record to which incarnation a member replied that it never voted.
func repliesWithoutRecordingIncarnation(rules *modelcheck.Rules) {
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

// rollsBackByNextMembers counts the votes of the next members where those of the current members decide.
func rollsBackByNextMembers(rules *modelcheck.Rules) {
	rules.RollbackElectorate = func(joint keystore.Membership) keystore.Membership {
		return keystore.Membership{Version: joint.Version, Current: joint.Next}
	}
}

// rollsBackOverCompletion rolls back a joint membership although a completion was found.
func rollsBackOverCompletion(rules *modelcheck.Rules) {
	rules.ProposeRollback = func(owner keystore.Ownership, joint keystore.Membership) (keystore.Register, error) {
		value, err := json.Marshal(joint.RolledBack())
		return owner.NextProposal(value), err
	}
}

// completesByNextMembers counts only the votes of the next members under a joint membership, even after its rollback.
func completesByNextMembers(rules *modelcheck.Rules) {
	rules.CountVotes = func(membership keystore.Membership, replies map[string]keystore.Reply, agrees keystore.VoteFunc) (bool, bool) {
		if membership.IsJoint() {
			membership.Current, membership.Next = membership.Next, nil
		}
		return keystore.CountVotes(membership, replies, agrees)
	}
}

var injectedFaults = []injectedFault{
	{"unanswered initial member counted as one that never voted", modelcheck.BootstrapWithUnreachableMember(), bootstrapsWithoutUnanswered},
	{"second bootstrap after the first was completed", modelcheck.DiskLossAfterBootstrap(), bootstrapsAfterCompletion},
	{"bootstrap under a later membership", modelcheck.BootstrapMembershipChanged(), bootstrapsUnderAnyMembership},
	{"never-voted reply not tied to a disk incarnation", modelcheck.BootstrapWithWipe(), repliesWithoutRecordingIncarnation},
	{"immediate vote after a wipe", modelcheck.WipeSeen(), votesImmediatelyAfterWipe},
	{"reply before the sync", modelcheck.CrashBetweenWrites(), repliesBeforeSync},
	{"only one majority under a joint membership", modelcheck.JointMajorities(), countsOnlyCurrentMajority},
	{"rollback decided by the next members", modelcheck.ChangeAfterRollback(), rollsBackByNextMembers},
	{"rollback in spite of a completion", modelcheck.RollbackDuringCompletion(), rollsBackOverCompletion},
	{"votes of the next members counted during a rollback", modelcheck.RollbackDuringCompletion(), completesByNextMembers},
	{"immediate vote after a wipe, five members", modelcheck.FiveWithWipe(), votesImmediatelyAfterWipe},
	{"rollback in spite of a completion, two joining", modelcheck.TwoJoiningTwice(), rollsBackOverCompletion},
	{"missing reply counted as agreement", modelcheck.TwoProposers(), countsMissingReplyAsAgreement},
	{"stale membership installed at catch-up", modelcheck.MembershipDuringCatchUp(), installsStaleMembership},
	{"proposal number reused by the next incarnation", modelcheck.Restart(), reusesProposalNumbers},
	{"digest validity counted from the reply", modelcheck.FreshDigest(), countsDigestValidityFromReply},
	{"digest validity not ended by a freeze", modelcheck.FreshDigest(), ignoresDigestExpiry},
	{"renewal granted under a higher promise", modelcheck.OwnerReads(), readsUnconfirmed},
	{"lease measured by the wall clock", modelcheck.LeaseReleased(), countsLeasesByWallClock},
	{"accept that ignores disk incarnations", modelcheck.WipeSeen(), ignoresDiskIncarnations},
	{"acceptance counted from members that promised nothing", modelcheck.WipeBetweenWrites(), countsAnyAcceptance},
	{"member that ignores the loss of its own disk", modelcheck.WipeHalfWritten(), ignoresOwnDiskLoss},
	{"owner that skips the recommit", modelcheck.ThreeProposers(), skipsRecommit},
	{"newcomer that grants leases immediately", modelcheck.LeaseWiped(), grantsLeasesAfterInstall},
}

func TestSearch_FindsInjectedFaults(t *testing.T) {
	for _, injected := range injectedFaults {
		t.Run(injected.name, func(t *testing.T) {
			rules := modelcheck.ProductionRules()
			injected.inject(&rules)
			report := modelcheck.Search(t.Context(), injected.scenario, rules, modelcheck.Limits{})
			t.Log(report)
			assert.Assert(t, report.Violation != "", "not found in all %d states", report.States)
		})
	}
}
