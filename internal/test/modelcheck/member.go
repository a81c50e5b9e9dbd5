package modelcheck

import (
	"maps"
	"time"

	"ferryspar/internal/keystore"
)

// batch is what one step decided that the disk does not have yet, with the replies that wait.
type batch struct {
	Registers []keystore.Register
	Replies   []packet
}

// member is one member's memory and disk.
type member struct {
	State   keystore.AcceptorState
	Durable map[string]keystore.Register
	Staged  []batch

	// localState and membership are read from Durable once.
	localState keystore.LocalState
	membership keystore.Membership
}

// refreshDerived reads what the disk says of the member and the membership.
func (m *member) refreshDerived() {
	m.localState, m.membership = keystore.LocalStateOf(m.Durable), keystore.MembershipOf(m.Durable)
}

func newMember(
	address string, seeds []string, lease time.Duration, registers []keystore.Register, leasesBlockedUntil time.Time,
) *member {
	result := &member{Durable: map[string]keystore.Register{}}
	result.State = keystore.AcceptorState{
		Address:            address,
		Seeds:              seeds,
		LeaseDuration:      lease,
		Registers:          map[string]keystore.Register{},
		Grants:             map[string]time.Time{},
		LeasesBlockedUntil: leasesBlockedUntil,
	}
	for _, register := range registers {
		result.Durable[register.Key] = register
		result.State.Registers[register.Key] = register
	}
	result.refreshDerived()
	return result
}

// completeBootstrap is the member after it has seen every initial member vote.
func (m *member) completeBootstrap() *member {
	next := m.clone()
	_, changes := next.State.CompleteBootstrap()
	next.State.Apply(changes)
	next.Durable = withRegisters(m.Durable, changes)
	next.refreshDerived()
	return next
}

func (m *member) clone() *member {
	copied := *m
	copied.State = *m.State.Clone()
	copied.Staged = append([]batch(nil), m.Staged...)
	return &copied
}

// dropExpired drops grants and a time without leases that have run out: every later request is answered as though there
// were none, so members that differ only in them are one state.
func (m *member) dropExpired(now time.Time) {
	for key, until := range m.State.Grants {
		if !now.Before(until) {
			delete(m.State.Grants, key)
		}
	}
	if !now.Before(m.State.LeasesBlockedUntil) {
		m.State.LeasesBlockedUntil = time.Time{}
	}
}

// handle gives the member a packet: the member that results and the replies that leave at once.
func (m *member) handle(rules Rules, message packet, now time.Time) (*member, []packet) {
	next := m.clone()
	var reply keystore.Reply
	var changes []keystore.Register
	answer := message
	answer.Request, answer.Install, answer.Learn = nil, nil, nil
	switch {
	case message.Request != nil:
		reply, changes = rules.Step(&next.State, *message.Request, now, m.Durable)
		answer.Reply = &reply
	case message.Install != nil:
		_, changes = rules.Install(&next.State, *message.Install, now)
	case message.Learn != nil:
		_, changes = rules.Learn(&next.State, *message.Learn)
	}
	next.State.Apply(changes)
	next.dropExpired(now)
	var replies []packet
	if answer.Reply != nil {
		replies = []packet{answer}
	}
	if len(changes) == 0 {
		return next, replies
	}
	staged := batch{Registers: changes}
	if rules.WaitsForSync(changes) {
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
	next.Durable = withRegisters(m.Durable, done.Registers)
	next.refreshDerived()
	return next, done.Replies
}

// crash is a kill or a loss of power and the start after it. The first kept batches had reached the disk; replies that
// waited are lost. Grants are in memory only: none is made for as long as a lease lasts.
func (m *member) crash(kept int, now time.Time) *member {
	durable := m.Durable
	for _, staged := range m.Staged[:kept] {
		durable = withRegisters(durable, staged.Registers)
	}
	next := &member{Durable: durable, State: *m.State.Clone()}
	next.State.Registers, next.State.Grants = maps.Clone(durable), map[string]time.Time{}
	next.State.LeasesBlockedUntil = now.Add(m.State.LeaseDuration)
	next.refreshDerived()
	return next
}

// wipe is a crash that takes the disk along.
func (m *member) wipe(rules Rules, now time.Time) *member {
	registers := rules.WipedRegisters(m.localState.DiskIncarnation+1, m.membership)
	return newMember(m.State.Address, m.State.Seeds, m.State.LeaseDuration, registers, now.Add(m.State.LeaseDuration))
}

func withRegisters(registers map[string]keystore.Register, changes []keystore.Register) map[string]keystore.Register {
	next := maps.Clone(registers)
	for _, register := range changes {
		next[register.Key] = register
	}
	return next
}
