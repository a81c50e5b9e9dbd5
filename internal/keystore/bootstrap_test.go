package keystore

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testSeeds     = []string{"a", "b", "c"}
	testBootstrap = BootstrapMembership(testSeeds)
)

// neverVotedReply is the answer of a founder that never voted on its present disk.
func neverVotedReply() Reply {
	return Reply{Rejection: RejectedNotVoting, NeverVoted: true, DiskIncarnation: 5, Seeds: []string{"c", "a", "b"}}
}

// votingReply is the answer of a founder that votes under the founding list.
func votingReply() Reply { return Reply{Granted: true, DiskIncarnation: 6, Membership: testBootstrap} }

func withChange(reply Reply, change func(reply *Reply)) Reply {
	change(&reply)
	return reply
}

func TestJudgeBootstrap_ReadyOnlyIfNoMemberKnowsMore(t *testing.T) {
	later := Membership{Version: 2, Current: testSeeds, Next: []string{"a", "b", "d"}}
	other := []string{"a", "b", "d"}
	cases := map[string]struct {
		answer  *Reply
		verdict BootstrapVerdict
	}{
		"it never voted":                        {new(neverVotedReply()), BootstrapReady},
		"it never voted and was told the list":  {new(withChange(neverVotedReply(), func(r *Reply) { r.Membership, r.Seeds = testBootstrap, other })), BootstrapReady},
		"it votes":                              {new(votingReply()), BootstrapReady},
		"it has not answered":                   {nil, BootstrapNoAnswer},
		"it was not reached":                    {&Reply{Rejection: RejectedUnreachable}, BootstrapNoAnswer},
		"its disk refuses":                      {&Reply{Rejection: RejectedDiskError}, BootstrapRejected},
		"it names other seeds":                  {new(withChange(neverVotedReply(), func(r *Reply) { r.Seeds = other })), BootstrapSeedMismatch},
		"it holds another founding list":        {new(withChange(votingReply(), func(r *Reply) { r.Membership.Current = other })), BootstrapSeedMismatch},
		"it holds a later list":                 {new(withChange(votingReply(), func(r *Reply) { r.Membership = later })), BootstrapMembershipChanged},
		"it never voted and was told a later":   {new(withChange(neverVotedReply(), func(r *Reply) { r.Membership = later })), BootstrapMembershipChanged},
		"it voted and was dropped":              {new(withChange(neverVotedReply(), func(r *Reply) { r.NeverVoted = false })), BootstrapMembershipChanged},
		"it accepted a change of members":       {new(withChange(votingReply(), func(r *Reply) { r.Registers = []Register{acceptedRegister(MembershipKey, 1, "list")} })), BootstrapMembershipChanged},
		"it saw the founding completed":         {new(withChange(votingReply(), func(r *Reply) { r.BootstrapCompleted = true })), BootstrapAlreadyCompleted},
		"it saw that, and another stays silent": {new(withChange(votingReply(), func(r *Reply) { r.BootstrapCompleted = true })), BootstrapAlreadyCompleted},
	}
	for name, testCase := range cases {
		replies := map[string]Reply{"a": neverVotedReply(), "b": neverVotedReply()}
		if testCase.answer != nil {
			replies["c"] = *testCase.answer
		}
		if name == "it saw that, and another stays silent" {
			delete(replies, "b")
		}
		assert.Equal(t, JudgeBootstrap("a", testBootstrap, replies), testCase.verdict, name)
	}
	all := map[string]Reply{"a": neverVotedReply(), "b": neverVotedReply(), "c": neverVotedReply()}
	assert.Equal(t, JudgeBootstrap("d", testBootstrap, all), BootstrapNotInitialMember)
	assert.Equal(t, JudgeBootstrap("a", later, all), BootstrapMembershipChanged)
}

func TestAcceptorState_WithoutVoteRecordsWhoCatchesUp(t *testing.T) {
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
	told, _ := member.Step(Message{
		Operation:       OperationCatchUp,
		Sender:          "b",
		DiskIncarnation: 22,
		Membership:      testBootstrap,
	}, testNow, nil)
	assert.Assert(t, told.Granted && told.BootstrapCompleted)
	_, changes = member.CompleteBootstrap()
	assert.Equal(t, len(changes), 0)
	_, changes = votingAcceptor().CompleteBootstrap()
	assert.Equal(t, len(changes), 0, "the list was changed")
}
