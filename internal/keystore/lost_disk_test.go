package keystore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fiveMemberships = Membership{Version: 1, Current: []string{"a", "b", "c", "d", "e"}}

// instantCluster is five members that answer at once and sync at once.
type instantCluster map[string]*AcceptorState

func (f instantCluster) send(message Message, addresses ...string) map[string]Reply {
	message.Membership = fiveMemberships
	replies := map[string]Reply{}
	for _, address := range addresses {
		reply, changes := f[address].Step(message, testNow, f[address].Registers)
		f[address].Apply(changes)
		replies[address] = reply
	}
	return replies
}

func (f instantCluster) start(address string, registers []Register) {
	f[address] = &AcceptorState{
		Address:       address,
		LeaseDuration: testLeaseDuration,
		Registers:     map[string]Register{},
		Grants:        map[string]time.Time{},
	}
	f[address].Apply(registers)
}

// loseDisk starts a member anew, which catches up from the members named.
func (f instantCluster) loseDisk(t *testing.T, address string, diskIncarnation uint64, from ...string) {
	f.start(address, WipedRegisters(diskIncarnation))
	question := CatchUpRequest{Self: address, DiskIncarnation: diskIncarnation, Membership: fiveMemberships}
	replies := f.send(Message{Operation: OperationCatchUp, Sender: address, DiskIncarnation: diskIncarnation}, from...)
	read, _, enough := EvaluateCatchUp(question, replies, EvaluateBootstrap)
	assert.Assert(t, enough)
	reply, changes := f[address].Install(read, testNow)
	assert.Assert(t, reply.Granted)
	f[address].Apply(changes)
}

// d is never told that a lost its disk: a reads three others, which is enough of five.
func TestOwnership_PromiseOfLostDiskReplacesNothingAcknowledged(t *testing.T) {
	cluster := instantCluster{}
	for index, address := range fiveMemberships.Current {
		cluster.start(address, BootstrapRegisters(fiveMemberships, uint64(101+index)))
	}
	higher, lower, last := proposalNumber(9), proposalNumber(5), proposalNumber(10)
	promised := cluster.send(PrepareMessage("x", higher), "a")
	cluster.loseDisk(t, "a", 201, "b", "c", "e")
	for address, reply := range cluster.send(PrepareMessage("x", higher), "b", "d") {
		promised[address] = reply
	}
	counts := func(address string, _ Reply) bool { return CountsPromise(promised, address) }
	agreed, _ := CountVotes(fiveMemberships, promised, counts)
	owner := NewOwnership("x", lower, cluster.send(PrepareMessage("x", lower), "a", "c", "e"))
	accepted := cluster.send(owner.AcceptMessage(owner.NextProposal(value("acknowledged"))), "a", "c", "e")
	chosen, _ := CountVotes(fiveMemberships, accepted, owner.CountsAcceptance)
	assert.Assert(t, chosen)
	if agreed {
		higherOwner := NewOwnership("x", higher, promised)
		cluster.send(higherOwner.AcceptMessage(higherOwner.NextProposal(value("late"))), "a", "b", "c", "d", "e")
	}
	successor := NewOwnership("x", last, cluster.send(PrepareMessage("x", last), "b", "c", "d"))
	assert.Equal(t, string(successor.Current().Value), `"acknowledged"`)
}
