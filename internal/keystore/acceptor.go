package keystore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Clock tells the time. Its steady part (as that of time.Now) bounds leases.
type Clock func() time.Time

// AcceptorConfig are the bounds of one member.
type AcceptorConfig struct {
	// Lease is how long a lease is granted; another holder is refused for as long.
	LeaseDuration time.Duration
	Clock         Clock
	// Seeds are the founders of the system by the member's settings.
	Seeds []string
}

// transition is one question to the member's state.
type transition func(state *AcceptorState, now time.Time, durable map[string]Register) (Reply, []Register)

type request struct {
	decide transition
	reply  chan Reply
}

type batch struct {
	registers []Register
	replies   []pendingReply
}

type pendingReply struct {
	destination chan Reply
	reply       Reply
}

// Acceptor runs one member: a loop owns the AcceptorState, a second one the disk. Answers
// that depend on a write are held back until the disk has synced it; a disk that hangs
// holds up nothing else.
type Acceptor struct {
	state        *AcceptorState
	seeds        []string
	clock        Clock
	requests     chan request
	writes       chan batch
	writeResults chan error
	durable      atomic.Pointer[map[string]Register]
	queued       batch
	inFlight     *batch
}

// NewAcceptor makes the member at address from what its journal holds. With founding set no
// earlier life can have granted a lease; otherwise none is promised for one lease's length.
func NewAcceptor(address string, log *WAL, config AcceptorConfig, bootstrapping bool) *Acceptor {
	state := &AcceptorState{
		Address: address, Seeds: config.Seeds, LeaseDuration: config.LeaseDuration, Registers: log.State(), Grants: map[string]time.Time{},
	}
	if !bootstrapping {
		state.LeasesBlockedUntil = config.Clock().Add(config.LeaseDuration)
	}
	acceptor := &Acceptor{
		state: state, seeds: config.Seeds, clock: config.Clock, requests: make(chan request, 64), writes: make(chan batch, 1), writeResults: make(chan error, 1),
	}
	durable := log.State()
	acceptor.durable.Store(&durable)
	return acceptor
}

// Run answers calls until the context ends.
func (a *Acceptor) Run(ctx context.Context, log *WAL) {
	go a.writeLoop(ctx, log)
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-a.writeResults:
			a.completeWrite(err)
		case next := <-a.requests:
			a.handle(next)
		}
	}
}

func (a *Acceptor) writeLoop(ctx context.Context, log *WAL) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-a.writes:
			a.writeResults <- log.Append(next.registers)
		}
	}
}

// Call answers a message of a proposer or member. Any goroutine may call it.
func (a *Acceptor) Call(ctx context.Context, message Message) (Reply, error) {
	return a.submit(ctx, func(state *AcceptorState, now time.Time, durable map[string]Register) (Reply, []Register) {
		return state.Step(message, now, durable)
	})
}

// Install takes over what a member without a vote has read, see AcceptorState.Install.
func (a *Acceptor) Install(ctx context.Context, read CatchUpResult) error {
	return a.submitGranted(ctx, func(state *AcceptorState, now time.Time, _ map[string]Register) (Reply, []Register) {
		return state.Install(read, now)
	})
}

// Learn keeps a chosen value that this member missed, see AcceptorState.Learn.
func (a *Acceptor) Learn(ctx context.Context, chosen Register) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return state.Learn(chosen)
	})
}

// CompleteBootstrap notes that every founder votes, see AcceptorState.CompleteFounding.
func (a *Acceptor) CompleteBootstrap(ctx context.Context) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return state.CompleteBootstrap()
	})
}

// Hear keeps a newer member list that was told outside of the members' own questions.
func (a *Acceptor) AdoptMembership(ctx context.Context, membership Membership) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return Reply{Granted: true}, state.adoptMembership(membership)
	})
}

func (a *Acceptor) submitGranted(ctx context.Context, decide transition) error {
	reply, err := a.submit(ctx, decide)
	if err == nil && !reply.Granted {
		return errors.New(string(reply.Rejection))
	}
	return err
}

func (a *Acceptor) submit(ctx context.Context, decide transition) (Reply, error) {
	next := request{decide, make(chan Reply, 1)}
	select {
	case a.requests <- next:
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	select {
	case reply := <-next.reply:
		return reply, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

// Durable is what the member's disk holds. The map is never changed.
func (a *Acceptor) Durable() map[string]Register { return *a.durable.Load() }

// LocalState is what the member's disk says of itself.
func (a *Acceptor) LocalState() LocalState { return readLocalState(a.Durable()) }

// Seeds are the founders of the system by the member's settings.
func (a *Acceptor) Seeds() []string { return a.seeds }

// Membership is the newest list on the member's disk.
func (a *Acceptor) Membership() Membership { return readMembership(a.Durable()) }

func (a *Acceptor) handle(next request) {
	reply, changes := next.decide(a.state, a.clock(), a.Durable())
	if len(changes) == 0 {
		next.reply <- reply
		return
	}
	a.stage(changes, pendingReply{next.reply, reply})
}

// maxPendingReplies is how many answers may wait for the disk.
const maxPendingReplies = 512

func (a *Acceptor) stage(changes []Register, pending pendingReply) {
	if len(a.queued.replies) >= maxPendingReplies {
		pending.destination <- Reply{Rejection: RejectedDiskQueueFull}
		return
	}
	a.state.Apply(changes)
	a.queued.registers = append(a.queued.registers, changes...)
	a.queued.replies = append(a.queued.replies, pending)
	a.flush()
}

func (a *Acceptor) flush() {
	if a.inFlight != nil || len(a.queued.replies) == 0 {
		return
	}
	next := a.queued
	a.inFlight, a.queued = &next, batch{}
	a.writes <- next
}

func (a *Acceptor) completeWrite(err error) {
	done := a.inFlight
	a.inFlight = nil
	if err != nil {
		a.rollBack(done)
		return
	}
	next := copyRegisters(a.Durable())
	for _, register := range done.registers {
		next[register.Key] = register
	}
	a.durable.Store(&next)
	for _, pending := range done.replies {
		pending.destination <- pending.reply
	}
	a.flush()
}

// rollBack returns to what the disk holds after it refused a write, and refuses all that was
// decided on top. Grants of leases that such a step noted stay: they only keep others away for
// longer. What a torn write left on the disk may come back after a restart; it was never
// promised to anybody, and a member may promise or accept at any time.
func (a *Acceptor) rollBack(failed *batch) {
	for _, pending := range append(failed.replies, a.queued.replies...) {
		pending.destination <- Reply{Rejection: RejectedDiskError}
	}
	a.queued = batch{}
	a.state.Registers = copyRegisters(a.Durable())
}
