package keystore

import (
	"context"
	"maps"
	"sync/atomic"
	"time"
)

// Clock tells the time. Leases are bounded by its monotonic part (as that of time.Now).
type Clock func() time.Time

// AcceptorConfig holds the settings of one acceptor.
type AcceptorConfig struct {
	// LeaseDuration is how long a lease is granted; another holder is rejected for as long.
	LeaseDuration time.Duration
	Clock         Clock
	// Seeds are the initial members of the system by the member's settings.
	Seeds []string
}

const (
	// requestBuffer is how many requests may wait for the acceptor's loop.
	requestBuffer = 64
	// maxPendingReplies is how many replies may wait for the disk.
	maxPendingReplies = 512
)

// transition is one request to the acceptor's state, see AcceptorState.
type transition func(state *AcceptorState, now time.Time, durable map[string]Register) (Reply, []Register)

type request struct {
	decide transition
	reply  chan Reply
}

// batch is what goes to the disk in one append, with the replies that wait for it.
type batch struct {
	registers []Register
	replies   []pendingReply
}

type pendingReply struct {
	destination chan Reply
	reply       Reply
}

// Acceptor runs one member: one goroutine owns the AcceptorState, a second one the write-ahead log. A reply that depends
// on a write waits until the disk has synced it; a disk that hangs delays nothing else.
//
// Were a reply given before the sync, a crash could take back a promise or a value that a proposer has counted.
type Acceptor struct {
	log          *WAL
	state        *AcceptorState
	seeds        []string
	clock        Clock
	requests     chan request
	writes       chan batch
	writeResults chan error
	// durable holds the registers that are on the disk. The map it points to is never changed.
	durable  atomic.Pointer[map[string]Register]
	queued   batch
	inFlight *batch
}

// NewAcceptor makes the member at an address from what its write-ahead log holds. When bootstrapping, no earlier process
// can have granted a lease; otherwise none is promised for as long as one lasts.
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

// Run answers requests until the context ends. It doesn't wait for a write that is under way then, since a disk that hangs
// must not hold up the end of the process; the write goes no further than that one append.
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

// runWrites is the only one to use the write-ahead log.
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

// Call answers a message of a proposer or a member. Any goroutine may call it. The error is that of the context.
func (a *Acceptor) Call(ctx context.Context, message Message) (Reply, error) {
	return a.submit(ctx, func(state *AcceptorState, now time.Time, durable map[string]Register) (Reply, []Register) {
		return state.Step(message, now, durable)
	})
}

// Install takes over what a member without a vote has read, see AcceptorState.Install. It returns a RejectionError if the
// member has moved on since.
func (a *Acceptor) Install(ctx context.Context, read CatchUpResult) error {
	return a.submitGranted(ctx, func(state *AcceptorState, now time.Time, _ map[string]Register) (Reply, []Register) {
		return state.Install(read, now)
	})
}

// Learn keeps a chosen value that this member missed, see AcceptorState.Learn. It returns a RejectionError if the member
// holds it, or a newer one, already.
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

// AdoptMembership keeps a newer membership that came by other ways than the members' own messages.
func (a *Acceptor) AdoptMembership(ctx context.Context, membership Membership) error {
	return a.submitGranted(ctx, func(state *AcceptorState, _ time.Time, _ map[string]Register) (Reply, []Register) {
		return Reply{Granted: true}, state.adoptMembership(membership)
	})
}

// submitGranted is submit with a rejection as an error.
func (a *Acceptor) submitGranted(ctx context.Context, decide transition) error {
	reply, err := a.submit(ctx, decide)
	if err == nil && !reply.Granted {
		return RejectionError{Rejection: reply.Rejection}
	}
	return err
}

// submit hands a request to the acceptor's loop and waits for the reply.
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

// Durable is what the member's disk holds, by key. The map is never changed.
func (a *Acceptor) Durable() map[string]Register { return *a.durable.Load() }

// LocalState is what the member's disk says of itself.
func (a *Acceptor) LocalState() LocalState { return LocalStateOf(a.Durable()) }

// Seeds are the initial members of the system by the member's settings.
func (a *Acceptor) Seeds() []string { return a.seeds }

// Membership is the newest on the member's disk.
func (a *Acceptor) Membership() Membership { return MembershipOf(a.Durable()) }

// handle decides on a request. A reply that changes nothing goes out at once.
func (a *Acceptor) handle(next request) {
	reply, changes := next.decide(a.state, a.clock(), a.Durable())
	if len(changes) == 0 {
		next.reply <- reply
		return
	}
	a.stage(changes, pendingReply{destination: next.reply, reply: reply})
}

// stage has changes go to the disk, and their reply wait for it.
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

// flush hands all that is queued to the disk as one batch, unless a batch is there already.
func (a *Acceptor) flush() {
	if a.inFlight != nil || len(a.queued.replies) == 0 {
		return
	}
	next := a.queued
	a.inFlight, a.queued = &next, batch{}
	a.writes <- next
}

// completeWrite gives the replies that waited for a batch.
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

// rollBack returns to what the disk holds after it rejected a write, and rejects all that was decided on top. Grants of
// leases that such a step made stay: they only keep others away for longer. What a torn write left on the disk may come
// back after a restart; it was never promised to anybody, and a member may promise or accept at any time.
func (a *Acceptor) rollBack(failed *batch) {
	for _, pending := range append(failed.replies, a.queued.replies...) {
		pending.destination <- Reply{Rejection: RejectedDiskError}
	}
	a.queued = batch{}
	a.state.Registers = maps.Clone(a.Durable())
}
