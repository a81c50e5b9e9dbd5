package modelcheck

import (
	"maps"
	"time"

	"ferryspar/internal/keystore"
)

// batch is the unsynced writes of one step, with the replies that wait for their sync.
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

// refreshDerived decodes localState and membership from the disk.
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

// completeBootstrap returns the member's state once it has seen every initial member vote.
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

// dropExpired drops expired grants and an expired lease block: they no longer affect any reply, so that members that differ
// only in them become one state.
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

// handle processes a packet, and returns the member's next state and the replies that need no sync.
func (m *member) handle(rules Rules, message packet, now time.Time) (*member, []packet) {
	next := m.clone()
	var reply keystore.Reply
	var changes []keystore.Register
	replyPacket := message
	replyPacket.Request, replyPacket.Install, replyPacket.Learn = nil, nil, nil
	switch {
	case message.Request != nil:
		reply, changes = rules.Step(&next.State, *message.Request, now, m.Durable)
		replyPacket.Reply = &reply
	case message.Install != nil:
		_, changes = rules.Install(&next.State, *message.Install, now)
	case message.Learn != nil:
		_, changes = rules.Learn(&next.State, *message.Learn)
	}
	next.State.Apply(changes)
	next.dropExpired(now)
	var replies []packet
	if replyPacket.Reply != nil {
		replies = []packet{replyPacket}
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

// sync makes the oldest staged batch durable, and returns the member's next state and the replies that waited for it.
func (m *member) sync() (*member, []packet) {
	next := m.clone()
	oldest := next.Staged[0]
	next.Staged = next.Staged[1:]
	if len(next.Staged) == 0 {
		next.Staged = nil
	}
	next.Durable = withRegisters(m.Durable, oldest.Registers)
	next.refreshDerived()
	return next, oldest.Replies
}

// crash returns the member after a kill or power loss and the following start. The first kept batches have reached the disk;
// waiting replies are lost. Grants are in memory only, so the member grants no lease for one lease duration.
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

// wipe returns the member after a crash that also loses the disk.
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
