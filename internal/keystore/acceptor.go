package keystore

import (
	"context"
	"maps"
	"sync/atomic"
	"time"
)

// Clock returns the time. Leases are measured by its monotonic reading (like that of time.Now).
type Clock func() time.Time

// AcceptorConfig is the configuration of an acceptor.
type AcceptorConfig struct {
	// LeaseDuration is how long a lease is granted. Other holders are rejected during this time.
	LeaseDuration time.Duration
	Clock         Clock
	// Seeds are the initial members of the system according to the member's settings.
	Seeds []string
}

const (
	// requestBuffer is the number of requests that may wait for the acceptor's loop.
	requestBuffer = 64
	// maxPendingReplies is the number of replies that may wait for the disk.
	maxPendingReplies = 512
)

// transition processes one request on the acceptor's state, see AcceptorState.
type transition func(state *AcceptorState, now time.Time, durable map[string]Register) (Reply, []Register)

type request struct {
	decide transition
	reply  chan Reply
}

// batch is written to disk in one append, before the replies that wait for it are sent.
type batch struct {
	registers []Register
	replies   []pendingReply
}

type pendingReply struct {
	destination chan Reply
	reply       Reply
}

// Acceptor runs one member. One goroutine owns the AcceptorState, a second one the write-ahead log. A reply that
// depends on a write is sent once the write is synced to disk; a disk that hangs delays no other replies.
//
// If a reply were sent before the sync, a crash could undo a promise or a value that a proposer has counted.
type Acceptor struct {
	log          *WAL
	state        *AcceptorState
	seeds        []string
	clock        Clock
	requests     chan request
	writes       chan batch
	writeResults chan error
	// durable holds the registers that are on disk. The map that it points to is never modified.
	durable  atomic.Pointer[map[string]Register]
	queued   batch
	inFlight *batch
}

// NewAcceptor returns the member at an address with the state in its write-ahead log. When bootstrapping, no earlier
// process can have granted a lease; otherwise no lease is promised for one lease duration.
func NewAcceptor(address string, log *WAL, config AcceptorConfig, bootstrapping bool) *Acceptor {
	state := &AcceptorState{
		Address:       address,
		Seeds:         config.Seeds,
		LeaseDuration: config.LeaseDuration,
		Registers:     log.State(),
		Grants:        map[string]time.Time{},
	}
	if !bootstrapping {
		state.LeasesBlockedUntil = config.Clock().Add(config.LeaseDuration)
	}
	acceptor := &Acceptor{
		log:          log,
		state:        state,
		seeds:        config.Seeds,
		clock:        config.Clock,
		requests:     make(chan request, requestBuffer),
		writes:       make(chan batch, 1),
		writeResults: make(chan error, 1),
	}
	durable := log.State()
	acceptor.durable.Store(&durable)
	return acceptor
}

// Run processes requests until the context ends. It doesn't wait for a write in progress then, since a disk that hangs
// must not delay the end of the process. No further write follows that one.
func (a *Acceptor) Run(ctx context.Context) {
	go a.runWrites(ctx)
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

// runWrites is the only goroutine that uses the write-ahead log.
func (a *Acceptor) runWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-a.writes:
			a.writeResults <- a.log.Append(next.registers)
		}
	}
}

// Call processes a message of a proposer or a member. It is safe for concurrent use. The error is that of the context.
func (a *Acceptor) Call(ctx context.Context, message Message) (Reply, error) {
	return a.submit(ctx, func(state *AcceptorState, now time.Time, durable map[string]Register) (Reply, []Register) {
		return state.Step(message, now, durable)
	})
}

// Install stores the state that a member without a vote has read, see AcceptorState.Install. It returns a
// RejectionError if the member's state has changed since.
func (a *Acceptor) Install(ctx context.Context, read CatchUpResult) error {
	return a.submitGranted(ctx, func(state *AcceptorState, now time.Time, _ map[string]Register) (Reply, []Register) {
		return state.Install(read, now)
	})
}

// Learn stores a chosen value that this member missed, see AcceptorState.Learn. It returns a RejectionError if the
// member holds this value or a newer one already.
func (a *Acceptor) Learn(ctx context.Context, chosen Register) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return state.Learn(chosen)
	})
}

// CompleteBootstrap records that every initial member votes, see AcceptorState.CompleteBootstrap. It returns a
// RejectionError if that is recorded already, or the membership has changed.
func (a *Acceptor) CompleteBootstrap(ctx context.Context) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return state.CompleteBootstrap()
	})
}

// AdoptMembership stores a newer membership that was received by other means than the members' own messages.
func (a *Acceptor) AdoptMembership(ctx context.Context, membership Membership) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return Reply{Granted: true}, state.adoptMembership(membership)
	})
}

// submitGranted is submit, but returns a rejection as an error.
func (a *Acceptor) submitGranted(ctx context.Context, decide transition) error {
	reply, err := a.submit(ctx, decide)
	if err == nil && !reply.Granted {
		return RejectionError{Rejection: reply.Rejection}
	}
	return err
}

// submit passes a request to the acceptor's loop and waits for the reply.
func (a *Acceptor) submit(ctx context.Context, decide transition) (Reply, error) {
	next := request{decide: decide, reply: make(chan Reply, 1)}
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

// Durable returns the registers on the member's disk, by key. The map is never modified.
func (a *Acceptor) Durable() map[string]Register { return *a.durable.Load() }

// LocalState returns what the member's disk holds about the member itself.
func (a *Acceptor) LocalState() LocalState { return LocalStateOf(a.Durable()) }

// Seeds returns the initial members of the system according to the member's settings.
func (a *Acceptor) Seeds() []string { return a.seeds }

// Membership returns the newest membership on the member's disk.
func (a *Acceptor) Membership() Membership { return MembershipOf(a.Durable()) }

// handle processes a request. A reply without changes is sent at once.
func (a *Acceptor) handle(next request) {
	reply, changes := next.decide(a.state, a.clock(), a.Durable())
	if len(changes) == 0 {
		next.reply <- reply
		return
	}
	a.stage(changes, pendingReply{destination: next.reply, reply: reply})
}

// stage queues changes for the disk, with the reply that waits for them.
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

// flush passes all queued changes to the writer as one batch, unless a batch is in flight.
func (a *Acceptor) flush() {
	if a.inFlight != nil || len(a.queued.replies) == 0 {
		return
	}
	next := a.queued
	a.inFlight, a.queued = &next, batch{}
	a.writes <- next
}

// completeWrite sends the replies that waited for a batch.
func (a *Acceptor) completeWrite(err error) {
	done := a.inFlight
	a.inFlight = nil
	if err != nil {
		a.rollBack(done)
		return
	}
	durable := maps.Clone(a.Durable())
	for _, register := range done.registers {
		durable[register.Key] = register
	}
	a.durable.Store(&durable)
	for _, pending := range done.replies {
		pending.destination <- pending.reply
	}
	a.flush()
}

// rollBack restores the state on disk after a write has failed, and rejects all requests that were decided on top of
// it. Lease grants made by these requests remain: they only exclude other holders for longer. A part of the
// failed write may be read after a restart. This is safe: it was never confirmed to anyone, and a member may promise or
// accept at any time.
func (a *Acceptor) rollBack(failed *batch) {
	for _, pending := range append(failed.replies, a.queued.replies...) {
		pending.destination <- Reply{Rejection: RejectedDiskError}
	}
	a.queued = batch{}
	a.state.Registers = maps.Clone(a.Durable())
}
