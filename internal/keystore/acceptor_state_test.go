package keystore

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testLeaseDuration = 3 * time.Second

var (
	testNow        = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	testMembership = Membership{Version: 2, Current: []string{"a", "b", "c"}}
)

func newAcceptorState(registers ...Register) *AcceptorState {
	member := &AcceptorState{
		Address:       "a",
		LeaseDuration: testLeaseDuration,
		Registers:     map[string]Register{},
		Grants:        map[string]time.Time{},
	}
	member.Apply(registers)
	return member
}

func votingAcceptor() *AcceptorState {
	return newAcceptorState(BootstrapRegisters(testMembership, 11)...)
}

// stepAndApply processes a message as if the disk synced at once.
func (s *AcceptorState) stepAndApply(message Message, now time.Time) Reply {
	message.Membership = testMembership
	reply, changes := s.Step(message, now, s.Registers)
	s.Apply(changes)
	return reply
}

func proposalNumber(round uint64) ProposalNumber {
	return ProposalNumber{Round: round, Proposer: "p", Incarnation: 1}
}

func value(text string) json.RawMessage { return json.RawMessage(`"` + text + `"`) }

func acceptedRegister(key string, round uint64, text string) Register {
	return Register{
		Key:      key,
		Promised: proposalNumber(round),
		Accepted: proposalNumber(round),
		Sequence: 1,
		Value:    value(text),
	}
}

func TestAcceptorState_InstallRejectedAfterNewerMembership(t *testing.T) {
	member := newAcceptorState(WipedRegisters(7)...)
	read := CatchUpResult{
		Membership:      testMembership,
		DiskIncarnation: 7,
		Registers:       []Register{acceptedRegister("x", 4, "read")},
	}
	newer := Membership{Version: 3, Current: []string{"b", "c", "d"}}
	_, changes := member.Step(Message{Operation: OperationDigest, Membership: newer}, testNow, nil)
	member.Apply(changes)
	reply, changes := member.Install(read, testNow)
	assert.Equal(t, reply.Rejection, RejectedStateChanged)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, MembershipOf(member.Registers).Version, uint64(3))
	assert.Assert(t, !LocalStateOf(member.Registers).Voting)
}

func TestAcceptorState_InstallRejectedForOtherIncarnationOrVoter(t *testing.T) {
	reply, _ := newAcceptorState(WipedRegisters(7)...).Install(CatchUpResult{
		Membership:      testMembership,
		DiskIncarnation: 6,
	}, testNow)
	assert.Equal(t, reply.Rejection, RejectedStateChanged, "read by an earlier disk incarnation")
	reply, _ = votingAcceptor().Install(CatchUpResult{Membership: testMembership, DiskIncarnation: 11}, testNow)
	assert.Equal(t, reply.Rejection, RejectedStateChanged, "it votes already")
}

func TestAcceptorState_InstallBlocksLeasesForOneDuration(t *testing.T) {
	member := newAcceptorState(WipedRegisters(7)...)
	reply, changes := member.Install(CatchUpResult{Membership: testMembership, DiskIncarnation: 7}, testNow)
	assert.Assert(t, reply.Granted)
	member.Apply(changes)
	promise := Message{Operation: OperationPrepare, Key: LeasePrefix + "duty", Proposal: proposalNumber(9)}
	assert.Equal(t, member.stepAndApply(promise, testNow.Add(testLeaseDuration-1)).Rejection, RejectedLeaseActive)
	assert.Assert(t, member.stepAndApply(promise, testNow.Add(testLeaseDuration)).Granted)
	other := Message{Operation: OperationPrepare, Key: "x", Proposal: proposalNumber(9)}
	assert.Assert(t, member.stepAndApply(other, testNow).Granted, "other keys are not blocked")
}

func TestAcceptorState_InstallKeepsHigherPromise(t *testing.T) {
	member := newAcceptorState(append(WipedRegisters(7), Register{Key: "x", Promised: proposalNumber(8)})...)
	_, changes := member.Install(CatchUpResult{
		Membership:      testMembership,
		DiskIncarnation: 7,
		Registers:       []Register{acceptedRegister("x", 4, "read")},
	}, testNow)
	member.Apply(changes)
	assert.Equal(t, member.Registers["x"].Promised, proposalNumber(8))
	assert.Equal(t, member.Registers["x"].Accepted, proposalNumber(4))
}

func TestAcceptorState_LearnKeepsPromise(t *testing.T) {
	member := votingAcceptor()
	member.Apply([]Register{{
		Key:      "x",
		Promised: proposalNumber(9),
		Accepted: proposalNumber(2),
		Sequence: 1,
		Value:    value("old"),
	}})
	reply, changes := member.Learn(acceptedRegister("x", 5, "chosen"))
	assert.Assert(t, reply.Granted)
	member.Apply(changes)
	assert.Equal(t, string(member.Registers["x"].Value), `"chosen"`)
	assert.Equal(t, member.Registers["x"].Promised, proposalNumber(9), "the higher promise is kept")
	reply, _ = member.Learn(acceptedRegister("x", 3, "older"))
	assert.Equal(t, reply.Rejection, RejectedStateChanged)
	reply, _ = newAcceptorState(WipedRegisters(1)...).Learn(acceptedRegister("x", 5, "chosen"))
	assert.Equal(t, reply.Rejection, RejectedStateChanged, "no vote")
}

func TestAcceptorState_RepeatedPrepareIsPromisedAgain(t *testing.T) {
	member := votingAcceptor()
	member.Apply([]Register{acceptedRegister("x", 1, "old")})
	prepare := Message{Operation: OperationPrepare, Key: "x", Proposal: proposalNumber(2), Membership: testMembership}
	assert.Assert(t, member.stepAndApply(prepare, testNow).Granted)
	reply, changes := member.Step(prepare, testNow, member.Registers)
	assert.Assert(t, reply.Granted, "the first reply may have been lost")
	assert.Equal(t, string(reply.Register.Value), `"old"`)
	assert.Equal(t, len(changes), 1, "the reply waits for the disk, where the first promise may not be yet")
	assert.Assert(t, member.stepAndApply(Message{
		Operation: OperationPrepare,
		Key:       "x",
		Proposal:  proposalNumber(3),
	}, testNow).Granted)
	assert.Equal(t, member.stepAndApply(prepare, testNow).Rejection, RejectedPromised, "another proposer has the promise")
}

func TestAcceptorState_DigestOmitsCoordinationKeys(t *testing.T) {
	member := votingAcceptor()
	shared := acceptedRegister(CoordinationPrefix+"lock/l", 1, "held")
	member.Apply([]Register{acceptedRegister("x", 1, "old"), shared})
	reply := member.stepAndApply(Message{Operation: OperationDigest}, testNow)
	assert.Equal(t, len(reply.Registers), 1)
	assert.Equal(t, reply.Registers[0].Key, "x")
	reply = member.stepAndApply(Message{Operation: OperationCatchUp, Sender: "b", DiskIncarnation: 5}, testNow)
	assert.Equal(t, len(reply.Registers), 2, "a member that lost its disk reads it")
}

func TestAcceptorState_LeaseBlocksOthersUntilEndOrRelease(t *testing.T) {
	member := votingAcceptor()
	key := LeasePrefix + "duty"
	assert.Assert(t, member.stepAndApply(Message{
		Operation: OperationPrepare,
		Key:       key,
		Proposal:  proposalNumber(1),
	}, testNow).Granted)
	assert.Assert(t, member.stepAndApply(Message{
		Operation: OperationAccept,
		Key:       key,
		Proposal:  proposalNumber(1),
		Sequence:  1,
	}, testNow).Granted)
	next := Message{Operation: OperationPrepare, Key: key, Proposal: proposalNumber(2)}
	assert.Equal(t, member.stepAndApply(next, testNow.Add(testLeaseDuration/2)).Rejection, RejectedLeaseActive)
	assert.Equal(t, member.stepAndApply(Message{
		Operation: OperationRelease,
		Key:       key,
		Proposal:  proposalNumber(2),
	}, testNow).Rejection, RejectedPromised, "not the holder")
	assert.Assert(t, member.stepAndApply(Message{
		Operation: OperationRelease,
		Key:       key,
		Proposal:  proposalNumber(1),
	}, testNow).Granted)
	assert.Assert(t, member.stepAndApply(next, testNow.Add(testLeaseDuration/2)).Granted)
}

func TestAcceptorState_LosesVoteWhenRemovedFromMembership(t *testing.T) {
	member := votingAcceptor()
	message := Message{
		Operation:  OperationPrepare,
		Key:        "x",
		Proposal:   proposalNumber(1),
		Membership: Membership{Version: 3, Current: []string{"b", "c", "d"}},
	}
	reply, changes := member.Step(message, testNow, member.Registers)
	assert.Equal(t, reply.Rejection, RejectedNotVoting)
	member.Apply(changes)
	assert.Assert(t, !LocalStateOf(member.Registers).Voting)
}

func TestAcceptorState_RejectsWriteCountingLostDisk(t *testing.T) {
	member := votingAcceptor()
	assert.Assert(t, member.stepAndApply(Message{
		Operation:       OperationCatchUp,
		Sender:          "b",
		DiskIncarnation: 22,
	}, testNow).Granted)
	write := Message{
		Operation:        OperationAccept,
		Key:              "x",
		Proposal:         proposalNumber(1),
		Sequence:         1,
		DiskIncarnations: map[string]uint64{"b": 21},
	}
	assert.Equal(t, member.stepAndApply(write, testNow).Rejection, RejectedDiskLost)
	write.DiskIncarnations["b"] = 22
	assert.Assert(t, member.stepAndApply(write, testNow).Granted)
}
