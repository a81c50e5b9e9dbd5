package keystore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fiveMemberships = Membership{Version: 1, Current: []string{"a", "b", "c", "d", "e"}}

// instantCluster is a cluster of five members that reply and sync at once.
type instantCluster map[string]*AcceptorState

func (c instantCluster) send(message Message, addresses ...string) map[string]Reply {
	message.Membership = fiveMemberships
	replies := map[string]Reply{}
	for _, address := range addresses {
		reply, changes := c[address].Step(message, testNow, c[address].Registers)
		c[address].Apply(changes)
		replies[address] = reply
	}
	return replies
}

func (c instantCluster) start(address string, registers []Register) {
	c[address] = &AcceptorState{
		Address:       address,
		LeaseDuration: testLeaseDuration,
		Registers:     map[string]Register{},
		Grants:        map[string]time.Time{},
	}
	c[address].Apply(registers)
}

// loseDisk restarts a member with an empty disk, which catches up from the given members.
func (c instantCluster) loseDisk(t *testing.T, address string, diskIncarnation uint64, from ...string) {
	c.start(address, WipedRegisters(diskIncarnation))
	request := CatchUpRequest{Self: address, DiskIncarnation: diskIncarnation, Membership: fiveMemberships}
	replies := c.send(Message{Operation: OperationCatchUp, Sender: address, DiskIncarnation: diskIncarnation}, from...)
	read, _, sufficient := EvaluateCatchUp(request, replies, EvaluateBootstrap)
	assert.Assert(t, sufficient)
	reply, changes := c[address].Install(read, testNow)
	assert.Assert(t, reply.Granted)
	c[address].Apply(changes)
}

// Guards against counting the promise of a member that has lost its disk since, which would replace an acknowledged
// value. d never learns that a lost its disk: a catches up from three others, which is enough of five.
func TestOwnership_PromiseOfLostDiskReplacesNoAcknowledgedValue(t *testing.T) {
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
