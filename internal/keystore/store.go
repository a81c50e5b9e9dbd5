package keystore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. A caller may try again after each.
var (
	// ErrNoMajority says that nothing was decided: too few members replied.
	ErrNoMajority = errors.New("no majority of members reached")
	// ErrContended says that nothing was decided: another process owns the key.
	ErrContended = errors.New("another daemon holds the key")
	// ErrUncertain says that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write not known")
	// ErrSuperseded rejects a change of the membership: a newer one is, or may be, in force.
	ErrSuperseded = errors.New("a newer membership is committed")
)

// Store reads and changes keys on behalf of one process: it is a proposer for each key that it writes. Any goroutine may
// call its methods; calls on one key follow each other.
type Store struct {
	// OnChange, if set before the first call, is called after each Change with what it took. It must not call the store.
	OnChange func(effort ChangeStats)

	self        string
	incarnation uint64
	transport   Transport
	membership  atomic.Pointer[Membership]
	// round is the highest of any proposal number that this store has used or seen.
	round  atomic.Uint64
	lock   sync.Mutex
	random *rand.Rand
	keys   map[string]*keyState
}

// keyState is what the store remembers of one key.
type keyState struct {
	name string
	// semaphore has room for one: whoever has put its token there may use the fields below.
	semaphore chan struct{}
	// owned says that the Ownership is believed to stand. Another proposer may have ended it meanwhile: every use of it
	// is confirmed by a majority.
	owned bool
	Ownership
	latePromises <-chan memberReply
	// confirmedFrom is when the last round began in which a quorum confirmed that the key is owned, zero for none.
	confirmedFrom time.Time
	// effort is that of the Change under way.
	effort ChangeStats
}

// NewStore makes the proposer of the process at address self. incarnation must differ from that of every other process at
// that address: 64 bits from the system's source of randomness do, but for one chance in 2^64 for each pair of them.
// membership is the newest that is known.
func NewStore(self string, incarnation uint64, transport Transport, membership Membership) *Store {
	store := &Store{
		self:        self,
		incarnation: incarnation,
		transport:   transport,
		random:      rand.New(rand.NewPCG(incarnation, 0)),
		keys:        map[string]*keyState{},
	}
	store.membership.Store(&membership)
	return store
}

// Membership is the newest that the store knows.
func (s *Store) Membership() Membership { return *s.membership.Load() }

// AdoptMembership takes over a newer membership and says whether it was newer.
func (s *Store) AdoptMembership(membership Membership) bool {
	for {
		current := s.membership.Load()
		if membership.Version <= current.Version {
			return false
		}
		if s.membership.CompareAndSwap(current, &membership) {
			return true
		}
	}
}

func (s *Store) keyState(name string) *keyState {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.keys[name] == nil {
		s.keys[name] = &keyState{
			name:      name,
			semaphore: make(chan struct{}, 1),
			Ownership: Ownership{register: Register{Key: name}},
		}
	}
	return s.keys[name]
}

// lock waits for other calls on the key, and returns ErrNoMajority if the context ends before they do.
func (k *keyState) lock(ctx context.Context) error {
	select {
	case k.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoMajority
	}
}

func (k *keyState) unlock() { <-k.semaphore }

// nextProposalNumber is above every proposal number that this store has seen, and is given to no other attempt.
func (s *Store) nextProposalNumber() ProposalNumber {
	return ProposalNumber{Round: s.round.Add(1), Proposer: s.self, Incarnation: s.incarnation}
}

// observeProposalNumber raises the round to that of a number that a member has seen.
func (s *Store) observeProposalNumber(proposal ProposalNumber) {
	for {
		seen := s.round.Load()
		if proposal.Round <= seen || s.round.CompareAndSwap(seen, proposal.Round) {
			return
		}
	}
}

// jitter draws a duration below the limit.
func (s *Store) jitter(limit time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}
