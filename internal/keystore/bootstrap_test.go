package keystore

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testSeeds     = []string{"a", "b", "c"}
	testBootstrap = BootstrapMembership(testSeeds)
)

// neverVotedReply returns the reply of a member that never voted on its present disk.
func neverVotedReply() Reply {
	return Reply{Rejection: RejectedNotVoting, NeverVoted: true, DiskIncarnation: 5, Seeds: []string{"c", "a", "b"}}
}

// votingReply returns the reply of a member that votes under the first membership.
func votingReply() Reply { return Reply{Granted: true, DiskIncarnation: 6, Membership: testBootstrap} }

func withChange(reply Reply, change func(reply *Reply)) Reply {
	change(&reply)
	return reply
}

func TestEvaluateBootstrap_ReadyOnlyIfNoMemberHasLaterState(t *testing.T) {
	later := Membership{Version: 2, Current: testSeeds, Next: []string{"a", "b", "d"}}
	other := []string{"a", "b", "d"}
	neverVoted := func(change func(reply *Reply)) *Reply { return new(withChange(neverVotedReply(), change)) }
	voting := func(change func(reply *Reply)) *Reply { return new(withChange(votingReply(), change)) }
	unchanged := func(*Reply) {}
	completed := func(reply *Reply) { reply.BootstrapCompleted = true }
	acceptedChange := []Register{acceptedRegister(MembershipKey, 1, "list")}
	cases := []struct {
		name string
		// reply is that of c, nil if it has not replied. b has not replied either if bSilent is set.
		reply   *Reply
		bSilent bool
		verdict BootstrapVerdict
	}{
		{
			name:    "it never voted",
			reply:   neverVoted(unchanged),
			verdict: BootstrapReady,
		},
		{
			name:    "it never voted and knows the first membership",
			reply:   neverVoted(func(reply *Reply) { reply.Membership, reply.Seeds = testBootstrap, other }),
			verdict: BootstrapReady,
		},
		{
			name:    "it votes",
			reply:   voting(unchanged),
			verdict: BootstrapReady,
		},
		{
			name:    "it has not replied",
			verdict: BootstrapNoAnswer,
		},
		{
			name:    "it was not reached",
			reply:   &Reply{Rejection: RejectedUnreachable},
			verdict: BootstrapNoAnswer,
		},
		{
			name:    "its disk rejects writes",
			reply:   &Reply{Rejection: RejectedDiskError},
			verdict: BootstrapRejected,
		},
		{
			name:    "it is configured with other seeds",
			reply:   neverVoted(func(reply *Reply) { reply.Seeds = other }),
			verdict: BootstrapSeedMismatch,
		},
		{
			name:    "it has another first membership",
			reply:   voting(func(reply *Reply) { reply.Membership.Current = other }),
			verdict: BootstrapSeedMismatch,
		},
		{
			name:    "it has a later membership",
			reply:   voting(func(reply *Reply) { reply.Membership = later }),
			verdict: BootstrapMembershipChanged,
		},
		{
			name:    "it never voted and knows a later membership",
			reply:   neverVoted(func(reply *Reply) { reply.Membership = later }),
			verdict: BootstrapMembershipChanged,
		},
		{
			name:    "it voted and was removed",
			reply:   neverVoted(func(reply *Reply) { reply.NeverVoted = false }),
			verdict: BootstrapMembershipChanged,
		},
		{
			name:    "it accepted a change of the membership",
			reply:   voting(func(reply *Reply) { reply.Registers = acceptedChange }),
			verdict: BootstrapMembershipChanged,
		},
		{
			name:    "it saw the bootstrap completed",
			reply:   voting(completed),
			verdict: BootstrapAlreadyCompleted,
		},
		{
			name:    "it saw the bootstrap completed, and another has not replied",
			reply:   voting(completed),
			bSilent: true,
			verdict: BootstrapAlreadyCompleted,
		},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			replies := map[string]Reply{"a": neverVotedReply(), "b": neverVotedReply()}
			if testCase.reply != nil {
				replies["c"] = *testCase.reply
			}
			if testCase.bSilent {
				delete(replies, "b")
			}
			assert.Equal(t, EvaluateBootstrap("a", testBootstrap, replies), testCase.verdict)
		})
	}
	all := map[string]Reply{"a": neverVotedReply(), "b": neverVotedReply(), "c": neverVotedReply()}
	assert.Equal(t, EvaluateBootstrap("d", testBootstrap, all), BootstrapNotInitialMember)
	assert.Equal(t, EvaluateBootstrap("a", later, all), BootstrapMembershipChanged)
}

func TestAcceptorState_WithoutVoteRecordsDiskIncarnationOfSender(t *testing.T) {
	member := newAcceptorState(WipedRegisters(7)...)
	member.Seeds = testSeeds
	reply, changes := member.Step(Message{Operation: OperationCatchUp, Sender: "b", DiskIncarnation: 22}, testNow, nil)
	assert.Equal(t, reply.Rejection, RejectedNotVoting)
	assert.Assert(t, reply.NeverVoted)
	assert.DeepEqual(t, reply.Seeds, testSeeds)
	member.Apply(changes)
	assert.Equal(t, knownDiskIncarnation(member.Registers, "b"), uint64(22))
	installed, changes := member.Install(CatchUpResult{Membership: testBootstrap, DiskIncarnation: 7}, testNow)
	assert.Assert(t, installed.Granted)
	member.Apply(changes)
	write := Message{
		Operation:        OperationAccept,
		Key:              "x",
		Proposal:         proposalNumber(1),
		Sequence:         1,
		Membership:       testBootstrap,
		DiskIncarnations: map[string]uint64{"b": 21},
	}
	rejected, _ := member.Step(write, testNow, member.Registers)
	assert.Equal(t, rejected.Rejection, RejectedDiskLost, "it counts a promise of b's lost disk")
}

func TestAcceptorState_CompletesBootstrapOnceUnderFirstMembership(t *testing.T) {
	member := newAcceptorState(BootstrapRegisters(testBootstrap, 4)...)
	reply, changes := member.CompleteBootstrap()
	assert.Assert(t, reply.Granted)
	member.Apply(changes)
	caughtUp, _ := member.Step(Message{
		Operation:       OperationCatchUp,
		Sender:          "b",
		DiskIncarnation: 22,
		Membership:      testBootstrap,
	}, testNow, nil)
	assert.Assert(t, caughtUp.Granted && caughtUp.BootstrapCompleted)
	_, changes = member.CompleteBootstrap()
	assert.Equal(t, len(changes), 0)
	_, changes = votingAcceptor().CompleteBootstrap()
	assert.Equal(t, len(changes), 0, "the membership was changed")
}
