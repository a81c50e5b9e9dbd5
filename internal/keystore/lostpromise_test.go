package keystore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fiveMembers = Members{Number: 1, Present: []string{"a", "b", "c", "d", "e"}}

// fleetOfFive is five members that answer at once and sync at once.
type fleetOfFive map[string]*MemberState

func (f fleetOfFive) askAll(message Message, addresses ...string) map[string]Reply {
	message.Members = fiveMembers
	replies := map[string]Reply{}
	for _, address := range addresses {
		reply, changes := f[address].Step(message, testNow, f[address].Slots)
		f[address].Apply(changes)
		replies[address] = reply
	}
	return replies
}

func (f fleetOfFive) start(address string, slots []Slot) {
	f[address] = &MemberState{Address: address, Lease: testLease, Slots: map[string]Slot{}, Grants: map[string]time.Time{}}
	f[address].Apply(slots)
}

// loseDisk starts a member anew, which catches up from the members named.
func (f fleetOfFive) loseDisk(t *testing.T, address string, incarnation uint64, from ...string) {
	f.start(address, WipedSlots(incarnation))
	question := CatchUpQuestion{Self: address, Incarnation: incarnation, Members: fiveMembers}
	replies := f.askAll(Message{Operation: OperationCatchUp, Sender: address, Incarnation: incarnation}, from...)
	read, _, enough := ConcludeCatchUp(question, replies, JudgeFounding)
	assert.Assert(t, enough)
	reply, changes := f[address].Install(read, testNow)
	assert.Assert(t, reply.Granted)
	f[address].Apply(changes)
}

// d is never told that a lost its disk: a reads three others, which is enough of five.
func TestGivenOneOfFiveDisksLostThenAWriteThatCountsItsPromiseReplacesNothingAcknowledged(t *testing.T) {
	fleet := fleetOfFive{}
	for index, address := range fiveMembers.Present {
		fleet.start(address, FreshSlots(fiveMembers, uint64(101+index)))
	}
	higher, lower, last := ballotOf(9), ballotOf(5), ballotOf(10)
	promised := fleet.askAll(PromiseMessage("x", higher), "a")
	fleet.loseDisk(t, "a", 201, "b", "c", "e")
	for address, reply := range fleet.askAll(PromiseMessage("x", higher), "b", "d") {
		promised[address] = reply
	}
	counts := func(address string, _ Reply) bool { return Promises(promised, address) }
	agreed, _ := Tally(fiveMembers, promised, counts)
	owner := Owned("x", lower, fleet.askAll(PromiseMessage("x", lower), "a", "c", "e"))
	accepted := fleet.askAll(owner.AcceptMessage(owner.Next(value("acknowledged"))), "a", "c", "e")
	chosen, _ := Tally(fiveMembers, accepted, owner.Accepts)
	assert.Assert(t, chosen)
	if agreed {
		higherOwner := Owned("x", higher, promised)
		fleet.askAll(higherOwner.AcceptMessage(higherOwner.Next(value("late"))), "a", "b", "c", "d", "e")
	}
	successor := Owned("x", last, fleet.askAll(PromiseMessage("x", last), "b", "c", "d"))
	assert.Equal(t, string(successor.InForce().Value), `"acknowledged"`)
}
