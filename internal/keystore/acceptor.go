package keystore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Clock tells the time. Its steady part (as that of time.Now) bounds leases.
type Clock func() time.Time

// Rules are the bounds of one member.
type Rules struct {
	// Lease is how long a lease is granted; another holder is refused for as long.
	Lease time.Duration
	Clock Clock
	// Seeds are the founders of the system by the member's settings.
	Seeds []string
}

// decision is one question to the member's state.
type decision func(state *MemberState, now time.Time, durable map[string]Slot) (Reply, []Slot)

type call struct {
	decide decision
	answer chan Reply
}

type batch struct {
	slots   []Slot
	waiting []waiting
}

type waiting struct {
	answer chan Reply
	reply  Reply
}

// Acceptor runs one member: a loop owns the MemberState, a second one the disk. Answers
// that depend on a write are held back until the disk has synced it; a disk that hangs
// holds up nothing else.
type Acceptor struct {
	state   *MemberState
	seeds   []string
	clock   Clock
	calls   chan call
	write   chan batch
	written chan error
	durable atomic.Pointer[map[string]Slot]
	queued  batch
	flying  *batch
}

// NewAcceptor makes the member at address from what its journal holds. With founding set no
// earlier life can have granted a lease; otherwise none is promised for one lease's length.
func NewAcceptor(address string, journal *Journal, rules Rules, founding bool) *Acceptor {
	state := &MemberState{
		Address: address, Seeds: rules.Seeds, Lease: rules.Lease, Slots: journal.State(), Grants: map[string]time.Time{},
	}
	if !founding {
		state.QuietUntil = rules.Clock().Add(rules.Lease)
	}
	acceptor := &Acceptor{
		state: state, seeds: rules.Seeds, clock: rules.Clock, calls: make(chan call, 64), write: make(chan batch, 1), written: make(chan error, 1),
	}
	durable := journal.State()
	acceptor.durable.Store(&durable)
	return acceptor
}

// Run answers calls until the context ends.
func (a *Acceptor) Run(ctx context.Context, journal *Journal) {
	go a.writeLoop(ctx, journal)
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-a.written:
			a.finish(err)
		case next := <-a.calls:
			a.handle(next)
		}
	}
}

func (a *Acceptor) writeLoop(ctx context.Context, journal *Journal) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-a.write:
			a.written <- journal.Append(next.slots)
		}
	}
}

// Call answers a message of a proposer or member. Any goroutine may call it.
func (a *Acceptor) Call(ctx context.Context, message Message) (Reply, error) {
	return a.submit(ctx, func(state *MemberState, now time.Time, durable map[string]Slot) (Reply, []Slot) {
		return state.Step(message, now, durable)
	})
}

// Install takes over what a member without a vote has read, see MemberState.Install.
func (a *Acceptor) Install(ctx context.Context, read CatchUp) error {
	return a.require(ctx, func(state *MemberState, now time.Time, _ map[string]Slot) (Reply, []Slot) {
		return state.Install(read, now)
	})
}

// Learn keeps a chosen value that this member missed, see MemberState.Learn.
func (a *Acceptor) Learn(ctx context.Context, chosen Slot) error {
	return a.require(ctx, func(state *MemberState, _ time.Time, _ map[string]Slot) (Reply, []Slot) {
		return state.Learn(chosen)
	})
}

// CompleteFounding notes that every founder votes, see MemberState.CompleteFounding.
func (a *Acceptor) CompleteFounding(ctx context.Context) error {
	return a.require(ctx, func(state *MemberState, _ time.Time, _ map[string]Slot) (Reply, []Slot) {
		return state.CompleteFounding()
	})
}

// Hear keeps a newer member list that was told outside of the members' own questions.
func (a *Acceptor) Hear(ctx context.Context, told Members) error {
	return a.require(ctx, func(state *MemberState, _ time.Time, _ map[string]Slot) (Reply, []Slot) {
		return Reply{Granted: true}, state.adopt(told)
	})
}

func (a *Acceptor) require(ctx context.Context, decide decision) error {
	reply, err := a.submit(ctx, decide)
	if err == nil && !reply.Granted {
		return errors.New(string(reply.Refusal))
	}
	return err
}

func (a *Acceptor) submit(ctx context.Context, decide decision) (Reply, error) {
	next := call{decide, make(chan Reply, 1)}
	select {
	case a.calls <- next:
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	select {
	case reply := <-next.answer:
		return reply, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

// Durable is what the member's disk holds. The map is never changed.
func (a *Acceptor) Durable() map[string]Slot { return *a.durable.Load() }

// Self is what the member's disk says of itself.
func (a *Acceptor) Self() Self { return readSelf(a.Durable()) }

// Seeds are the founders of the system by the member's settings.
func (a *Acceptor) Seeds() []string { return a.seeds }

// Members is the newest list on the member's disk.
func (a *Acceptor) Members() Members { return readMembers(a.Durable()) }

func (a *Acceptor) handle(next call) {
	reply, changes := next.decide(a.state, a.clock(), a.Durable())
	if len(changes) == 0 {
		next.answer <- reply
		return
	}
	a.stage(changes, waiting{next.answer, reply})
}

// queueBound is how many answers may wait for the disk.
const queueBound = 512

func (a *Acceptor) stage(changes []Slot, one waiting) {
	if len(a.queued.waiting) >= queueBound {
		one.answer <- Reply{Refusal: RefusedDiskQueueFull}
		return
	}
	a.state.Apply(changes)
	a.queued.slots = append(a.queued.slots, changes...)
	a.queued.waiting = append(a.queued.waiting, one)
	a.flush()
}

func (a *Acceptor) flush() {
	if a.flying != nil || len(a.queued.waiting) == 0 {
		return
	}
	flying := a.queued
	a.flying, a.queued = &flying, batch{}
	a.write <- flying
}

func (a *Acceptor) finish(err error) {
	done := a.flying
	a.flying = nil
	if err != nil {
		a.fallBack(done)
		return
	}
	next := copySlots(a.Durable())
	for _, slot := range done.slots {
		next[slot.Key] = slot
	}
	a.durable.Store(&next)
	for _, one := range done.waiting {
		one.answer <- one.reply
	}
	a.flush()
}

// fallBack returns to what the disk holds after it refused a write, and refuses all that was
// decided on top. Grants of leases that such a step noted stay: they only keep others away for
// longer. What a torn write left on the disk may come back after a restart; it was never
// promised to anybody, and a member may promise or accept at any time.
func (a *Acceptor) fallBack(refused *batch) {
	for _, one := range append(refused.waiting, a.queued.waiting...) {
		one.answer <- Reply{Refusal: RefusedDisk}
	}
	a.queued = batch{}
	a.state.Slots = copySlots(a.Durable())
}
