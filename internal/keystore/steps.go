package keystore

import (
	"maps"
	"slices"
	"time"
)

// moment is what a step may look at besides the member's state.
type moment struct {
	now     time.Time
	durable map[string]Slot
}

type step func(m *MemberState, message Message, reply Reply, at moment) (Reply, []Slot)

var steps = map[Operation]step{
	OperationPromise: (*MemberState).promise,
	OperationAccept:  (*MemberState).accept,
	OperationRenew:   (*MemberState).renew,
	OperationRelease: (*MemberState).release,
	OperationDigest:  (*MemberState).digest,
	OperationFetch:   (*MemberState).fetch,
	OperationCatchUp: (*MemberState).catchUp,
}

func (m *MemberState) slot(key string) Slot {
	slot := m.Slots[key]
	slot.Key = key
	return slot
}

// promise tells with each answer which incarnations of others this member knows, so that nobody counts the promise of a
// member that has lost its disk since.
func (m *MemberState) promise(message Message, reply Reply, at moment) (Reply, []Slot) {
	slot := m.slot(message.Key)
	reply.Slot, reply.Known = slot, knownIncarnations(m.Slots)
	if !slot.Promised.Less(message.Ballot) {
		reply.Refusal = RefusedPromised
		return reply, nil
	}
	if m.leaseRuns(message.Key, at.now) {
		reply.Refusal = RefusedLeaseRuns
		return reply, nil
	}
	slot.Promised = message.Ballot
	reply.Slot, reply.Granted = slot, true
	return reply, []Slot{slot}
}

func (m *MemberState) accept(message Message, reply Reply, at moment) (Reply, []Slot) {
	slot := m.slot(message.Key)
	reply.Slot = slot.Bare()
	if m.knowsLostDisk(message.Incarnations) {
		reply.Refusal = RefusedWiped
		return reply, nil
	}
	superseded := message.Ballot == slot.Ballot && message.Sequence < slot.Sequence
	if message.Ballot.Less(slot.Promised) || superseded {
		reply.Refusal = RefusedPromised
		return reply, nil
	}
	slot.Promised, slot.Ballot = message.Ballot, message.Ballot
	slot.Sequence, slot.Value = message.Sequence, message.Value
	reply.Slot, reply.Granted = slot.Bare(), true
	m.extend(message.Key, at.now)
	return reply, []Slot{slot}
}

// knowsLostDisk says that a member whose promise is counted has lost its disk since, be it this
// member or one that caught up here.
func (m *MemberState) knowsLostDisk(counted map[string]uint64) bool {
	for member, incarnation := range counted {
		known := knownIncarnation(m.Slots, member)
		if member == m.Address {
			known = readSelf(m.Slots).Incarnation
		}
		if known != 0 && known != incarnation {
			return true
		}
	}
	return false
}

// renew may be granted on a promise that the disk does not have yet: whoever took the key by a
// higher ballot since needs this member's promise later, or had it already and is seen here.
func (m *MemberState) renew(message Message, reply Reply, at moment) (Reply, []Slot) {
	slot := m.Slots[message.Key]
	reply.Slot = slot.Bare()
	if slot.Promised != message.Ballot {
		reply.Refusal = RefusedPromised
		return reply, nil
	}
	reply.Granted = true
	m.extend(message.Key, at.now)
	return reply, nil
}

func (m *MemberState) release(message Message, reply Reply, at moment) (Reply, []Slot) {
	slot := m.Slots[message.Key]
	reply.Slot = slot.Bare()
	if slot.Promised != message.Ballot {
		reply.Refusal = RefusedPromised
		return reply, nil
	}
	reply.Granted = true
	delete(m.Grants, message.Key)
	return reply, nil
}

func (m *MemberState) digest(_ Message, reply Reply, at moment) (Reply, []Slot) {
	for _, key := range slices.Sorted(maps.Keys(at.durable)) {
		slot := at.durable[key]
		if reserved(key) || !slot.Accepted() {
			continue
		}
		reply.Slots = append(reply.Slots, Slot{Key: key, Ballot: slot.Ballot, Sequence: slot.Sequence})
	}
	reply.Granted, reply.Known = true, knownIncarnations(m.Slots)
	return reply, nil
}

func (m *MemberState) fetch(message Message, reply Reply, at moment) (Reply, []Slot) {
	reply.Slot = at.durable[message.Key]
	reply.Granted = reply.Slot.Accepted()
	if !reply.Granted {
		reply.Refusal = RefusedNothingThere
	}
	return reply, nil
}

// catchUp tells a member without a vote all that this one decided. The sender's incarnation is
// on this member's disk before the answer goes out: from then on no write is taken that counts
// a promise of an earlier incarnation.
func (m *MemberState) catchUp(message Message, reply Reply, _ moment) (Reply, []Slot) {
	for _, key := range m.keys() {
		if !reserved(key) {
			reply.Slots = append(reply.Slots, m.Slots[key])
		}
	}
	noted := knownSlot(m.Slots[knownPrefix+message.Sender], message.Sender, message.Incarnation)
	reply.Granted, reply.Lives, reply.Completed = true, noted.Sequence, readSelf(m.Slots).Completed
	return reply, []Slot{noted}
}
