package keystore

import (
	"maps"
	"slices"
	"time"
)

// MemberState is all that a member's answers depend on. Step is a pure function of it, a
// message and the time, but for grants of leases, which it notes at once.
type MemberState struct {
	// Address is the member's own.
	Address string
	// Seeds are the founders of the system by the member's settings.
	Seeds []string
	// Lease is how long a lease is granted.
	Lease time.Duration
	// Slots holds what the member has decided, whether or not its disk has it yet.
	Slots map[string]Slot
	// Grants says until when each lease is granted, by the steady clock.
	Grants map[string]time.Time
	// QuietUntil is the time before which no lease is promised: a grant that an earlier life, or
	// the members before this one, gave may still run.
	QuietUntil time.Time
}

// Clone is an independent copy.
func (m *MemberState) Clone() *MemberState {
	copied := *m
	copied.Slots = copySlots(m.Slots)
	copied.Grants = maps.Clone(m.Grants)
	return &copied
}

// Step answers a message. The answer may be given once the slots returned are on the disk.
// durable holds what the disk has already; answers about values are given from it alone.
func (m *MemberState) Step(message Message, now time.Time, durable map[string]Slot) (Reply, []Slot) {
	adopted := m.adopt(message.Members)
	view := m.with(adopted)
	self, members := readSelf(view.Slots), readMembers(view.Slots)
	reply := Reply{Incarnation: self.Incarnation, Members: members}
	if !self.Voting {
		reply.Refusal = RefusedNotVoting
		if message.Operation != OperationCatchUp {
			return reply, adopted
		}
		testimony, noted := view.testify(message, reply)
		return testimony, append(adopted, noted...)
	}
	if message.Members.Number < members.Number && message.Operation != OperationCatchUp {
		reply.Refusal = RefusedOlderMembers
		return reply, nil
	}
	step, known := steps[message.Operation]
	if !known {
		reply.Refusal = RefusedUnknown
		return reply, adopted
	}
	reply, changes := step(view, message, reply, moment{now, durable})
	return reply, append(adopted, changes...)
}

// adopt takes over a newer member list. A member that the new list does not keep loses its
// vote, and must catch up again should it be taken back.
func (m *MemberState) adopt(told Members) []Slot {
	if told.Number <= readMembers(m.Slots).Number {
		return nil
	}
	adopted := []Slot{membersSlot(told)}
	self := readSelf(m.Slots)
	if self.Voting && !told.Keeps(m.Address) {
		self.Voting = false
		adopted = append(adopted, selfSlot(self))
	}
	return adopted
}

func (m *MemberState) with(changes []Slot) *MemberState {
	if len(changes) == 0 {
		return m
	}
	view := *m
	view.Slots = copySlots(m.Slots)
	view.Apply(changes)
	return &view
}

// Apply takes changes that a step decided on into the state.
func (m *MemberState) Apply(changes []Slot) {
	for _, slot := range changes {
		m.Slots[slot.Key] = slot
	}
}

// CatchUp is what a member without a vote has read of the others.
type CatchUp struct {
	Members     Members
	Incarnation uint64
	Slots       []Slot
}

// Install takes over what was read and begins to vote, unless the member has adopted a newer
// list, or begun to vote, since the reading began. What the others promised and granted until
// they were read is in the slots; a lease that they granted may run on, so none is promised
// here for as long.
func (m *MemberState) Install(read CatchUp, now time.Time) (Reply, []Slot) {
	self, members := readSelf(m.Slots), readMembers(m.Slots)
	reply := Reply{Incarnation: self.Incarnation, Members: members}
	if self.Voting || self.Incarnation != read.Incarnation || members.Number > read.Members.Number {
		reply.Refusal = RefusedMovedOn
		return reply, nil
	}
	changes := []Slot{membersSlot(read.Members)}
	for _, slot := range read.Slots {
		changes = append(changes, combine(m.Slots[slot.Key], slot))
	}
	self.Voting, self.Number = true, read.Members.Number
	changes = append(changes, selfSlot(self))
	m.QuietUntil = now.Add(m.Lease)
	reply.Granted, reply.Members = true, read.Members
	return reply, changes
}

// Learn keeps a value that a majority is known to hold. A chosen value may be kept under any
// promise: every later ballot carries it on. It brings a member that missed writes up to date
// without an owner's help.
func (m *MemberState) Learn(chosen Slot) (Reply, []Slot) {
	self := readSelf(m.Slots)
	reply := Reply{Incarnation: self.Incarnation, Members: readMembers(m.Slots)}
	held := m.Slots[chosen.Key]
	if !self.Voting || reserved(chosen.Key) || !chosen.Newer(held) {
		reply.Refusal = RefusedMovedOn
		return reply, nil
	}
	chosen.Promised = maxBallot(held.Promised, chosen.Ballot)
	reply.Granted = true
	return reply, []Slot{chosen}
}

// combine keeps the newer value and the higher promise of two slots of one key.
func combine(left, right Slot) Slot {
	result := left
	if right.Newer(left) || left.Key == "" {
		result = right
	}
	result.Promised = maxBallot(left.Promised, right.Promised)
	return result
}

func (m *MemberState) leaseRuns(key string, now time.Time) bool {
	return leased(key) && (now.Before(m.Grants[key]) || now.Before(m.QuietUntil))
}

func (m *MemberState) extend(key string, now time.Time) {
	if leased(key) {
		m.Grants[key] = now.Add(m.Lease)
	}
}

func (m *MemberState) keys() []string { return slices.Sorted(maps.Keys(m.Slots)) }
