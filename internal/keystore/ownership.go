package keystore

import (
	"encoding/json"
	"maps"
)

// Ownership is what a proposer knows of a key that it took: the ballot under which a majority
// promised, the value in force, the incarnations of the members that promised, and the sequence of
// the last proposal that was uncertain. All its functions are pure.
type Ownership struct {
	ballot       Ballot
	slot         Slot
	incarnations map[string]uint64
	uncertain    uint64
}

// PromiseMessage asks for the promises on which Owned concludes.
func PromiseMessage(key string, ballot Ballot) Message {
	return Message{Operation: OperationPromise, Key: key, Ballot: ballot}
}

// Owned concludes from promises of a quorum which value the new owner carries on.
func Owned(key string, ballot Ballot, replies map[string]Reply) Ownership {
	asked := round{replies: replies}
	newest := Slot{Key: key}
	incarnations := map[string]uint64{}
	for address, reply := range replies {
		if !asked.promises(address, reply) {
			continue
		}
		incarnations[address] = reply.Incarnation
		if reply.Slot.Newer(newest) {
			newest = reply.Slot
		}
	}
	carried := Slot{Key: key, Promised: ballot, Ballot: ballot, Sequence: newest.Sequence, Value: newest.Value}
	if !newest.Accepted() {
		carried.Ballot = Ballot{}
	}
	return Ownership{ballot: ballot, slot: carried, incarnations: incarnations}
}

// Carries says whether there is an earlier value that must be committed anew before anything
// is decided on it.
func (o Ownership) Carries() bool { return o.slot.Accepted() }

// Next is the proposal that follows the value in force.
func (o Ownership) Next(value json.RawMessage) Slot {
	slot := o.slot
	slot.Promised, slot.Ballot = o.ballot, o.ballot
	slot.Sequence = max(slot.Sequence, o.uncertain) + 1
	slot.Value = value
	return slot
}

// AcceptMessage asks members to keep a proposal of this owner.
func (o Ownership) AcceptMessage(slot Slot) Message {
	return Message{
		Operation: OperationAccept, Key: slot.Key, Ballot: slot.Ballot, Sequence: slot.Sequence, Value: slot.Value,
		Incarnations: o.incarnations,
	}
}

// Accepts says whether a reply counts towards the majority that makes a write certain: only that
// of a member that promised, and has not lost its disk since. The write names the incarnations
// of all that are counted, so that members which know of a later loss of a disk refuse it.
func (o Ownership) Accepts(address string, reply Reply) bool {
	promised, counted := o.incarnations[address]
	return reply.Granted && counted && promised == reply.Incarnation
}

// Joined is the ownership after one more member's promise of the same ballot has come in: from
// then on its votes count too.
func (o Ownership) Joined(address string, reply Reply) Ownership {
	if !reply.Granted {
		return o
	}
	o.incarnations = maps.Clone(o.incarnations)
	o.incarnations[address] = reply.Incarnation
	return o
}

// InForce is the value on which the owner decides: the one carried on, or the last one it wrote.
func (o Ownership) InForce() Slot { return o.slot }

// Wrote is the ownership after a proposal of Next became certain.
func (o Ownership) Wrote(next Slot) Ownership {
	o.slot = next
	return o
}

// Unclear is the ownership after a proposal of Next that may or may not be in force: the next one
// supersedes it.
func (o Ownership) Unclear(next Slot) Ownership {
	o.uncertain = next.Sequence
	return o
}

// Certain says whether InForce is known to be the value in force.
func (o Ownership) Certain() bool { return o.uncertain <= o.slot.Sequence }

func granted(_ string, reply Reply) bool { return reply.Granted }
