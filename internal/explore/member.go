package explore

import (
	"maps"
	"time"

	"ferryspar/internal/keystore"
)

// batch is what one step decided that the disk does not have yet, with the replies that wait.
type batch struct {
	Slots   []keystore.Slot
	Replies []packet
}

// member is one member's memory and disk.
type member struct {
	State   keystore.MemberState
	Durable map[string]keystore.Slot
	Staged  []batch

	// self and list are read from Durable once.
	self keystore.Self
	list keystore.Members
}

// read notes what the disk says of the member and the list.
func (m *member) read() {
	m.self, m.list = keystore.SelfOf(m.Durable), keystore.MembersOf(m.Durable)
}

func newMember(address string, seeds []string, lease time.Duration, slots []keystore.Slot, quietUntil time.Time) *member {
	made := &member{Durable: map[string]keystore.Slot{}}
	made.State = keystore.MemberState{
		Address: address, Seeds: seeds, Lease: lease, Slots: map[string]keystore.Slot{}, Grants: map[string]time.Time{}, QuietUntil: quietUntil,
	}
	for _, slot := range slots {
		made.Durable[slot.Key] = slot
		made.State.Slots[slot.Key] = slot
	}
	made.read()
	return made
}

// completeFounding is the member after it has seen every founder vote.
func (m *member) completeFounding() *member {
	next := m.clone()
	_, changes := next.State.CompleteFounding()
	next.State.Apply(changes)
	next.Durable = withSlots(m.Durable, changes)
	next.read()
	return next
}

func (m *member) clone() *member {
	copied := *m
	copied.State = *m.State.Clone()
	copied.Staged = append([]batch(nil), m.Staged...)
	return &copied
}

// forget drops grants and a quiet time that have run out: they answer every later question as
// none would, so members that differ only in them are one state.
func (m *member) forget(now time.Time) {
	for key, until := range m.State.Grants {
		if !now.Before(until) {
			delete(m.State.Grants, key)
		}
	}
	if !now.Before(m.State.QuietUntil) {
		m.State.QuietUntil = time.Time{}
	}
}

// handle gives the member a packet: the member that results and the replies that leave at once.
func (m *member) handle(rules Rules, one packet, now time.Time) (*member, []packet) {
	next := m.clone()
	var reply keystore.Reply
	var changes []keystore.Slot
	answer := one
	answer.Question, answer.Install, answer.Learned = nil, nil, nil
	switch {
	case one.Question != nil:
		reply, changes = rules.Step(&next.State, *one.Question, now, m.Durable)
		answer.Reply = &reply
	case one.Install != nil:
		_, changes = rules.Install(&next.State, *one.Install, now)
	case one.Learned != nil:
		_, changes = rules.Learn(&next.State, *one.Learned)
	}
	next.State.Apply(changes)
	next.forget(now)
	var replies []packet
	if answer.Reply != nil {
		replies = []packet{answer}
	}
	if len(changes) == 0 {
		return next, replies
	}
	staged := batch{Slots: changes}
	if rules.Waits(changes) {
		staged.Replies, replies = replies, nil
	}
	next.Staged = append(next.Staged, staged)
	return next, replies
}

// sync brings the oldest batch to the disk.
func (m *member) sync() (*member, []packet) {
	next := m.clone()
	done := next.Staged[0]
	next.Staged = next.Staged[1:]
	if len(next.Staged) == 0 {
		next.Staged = nil
	}
	next.Durable = withSlots(m.Durable, done.Slots)
	next.read()
	return next, done.Replies
}

// crash is a kill or a loss of power and the start after it. The first kept batches had reached
// the disk; replies that waited are lost. Grants are in memory only: none is made for one lease.
func (m *member) crash(kept int, now time.Time) *member {
	durable := m.Durable
	for _, one := range m.Staged[:kept] {
		durable = withSlots(durable, one.Slots)
	}
	next := &member{Durable: durable, State: *m.State.Clone()}
	next.State.Slots, next.State.Grants = maps.Clone(durable), map[string]time.Time{}
	next.State.QuietUntil = now.Add(m.State.Lease)
	next.read()
	return next
}

// wipe is a crash that takes the disk along.
func (m *member) wipe(rules Rules, now time.Time) *member {
	slots := rules.Wiped(m.self.Incarnation+1, m.list)
	return newMember(m.State.Address, m.State.Seeds, m.State.Lease, slots, now.Add(m.State.Lease))
}

func withSlots(slots map[string]keystore.Slot, changes []keystore.Slot) map[string]keystore.Slot {
	next := maps.Clone(slots)
	for _, slot := range changes {
		next[slot.Key] = slot
	}
	return next
}
