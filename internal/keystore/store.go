package keystore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. A caller may retry after each of them.
var (
	// ErrNoMajority means that nothing was decided: too few members replied.
	ErrNoMajority = errors.New("no majority of members reached")
	// ErrContended means that nothing was decided: another process owns the key.
	ErrContended = errors.New("another process owns the key")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write not known")
	// ErrSuperseded rejects a change of the membership: a newer one is, or may be, in force.
	ErrSuperseded = errors.New("a newer membership is committed")
)

// Store reads and changes keys on behalf of one process, as a proposer for each key that it writes. It is safe for
// concurrent use. Calls on the same key are executed one at a time.
type Store struct {
	// OnChange, if set before the first call, is called after each Change and ReadModifyWrite with its statistics. It
	// must not call the store.
	OnChange func(stats ChangeStats)

	self        string
	incarnation uint64
	transport   Transport
	membership  atomic.Pointer[Membership]
	// round is the highest round of any proposal number that this store has used or seen.
	round  atomic.Uint64
	lock   sync.Mutex
	random *rand.Rand
	keys   map[string]*keyState
}

// keyState is what the store remembers about one key.
type keyState struct {
	name string
	// semaphore has capacity 1: the goroutine that has put its token there may use the fields below.
	semaphore chan struct{}
	// owned is whether the Ownership is believed to be valid. Another proposer may have ended it in the meantime: every
	// use of it is confirmed by a majority.
	owned bool
	Ownership
	latePromises <-chan memberReply
	// confirmedFrom is the start of the last round in which a quorum confirmed that the key is owned, zero if there was
	// none.
	confirmedFrom time.Time
	// stats are those of the Change or ReadModifyWrite in progress.
	stats ChangeStats
}

// NewStore returns the proposer of the process at address self. incarnation must differ from that of every other
// process at that address: for 64 bits from the system's source of randomness, any two are equal with a probability of
// 1 in 2^64. membership is the newest that is known.
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

// Membership returns the newest membership that the store knows.
func (s *Store) Membership() Membership { return *s.membership.Load() }

// AdoptMembership adopts a newer membership and reports whether it was newer.
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

// lock waits for other calls on the key, and returns ErrNoMajority if the context ends before it gets the key.
func (k *keyState) lock(ctx context.Context) error {
	select {
	case k.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoMajority
	}
}

func (k *keyState) unlock() { <-k.semaphore }

// nextProposalNumber returns a number above every proposal number that this store has seen, which no other attempt
// uses.
func (s *Store) nextProposalNumber() ProposalNumber {
	return ProposalNumber{Round: s.round.Add(1), Proposer: s.self, Incarnation: s.incarnation}
}

// observeProposalNumber raises the store's round to that of a number that a member has seen.
func (s *Store) observeProposalNumber(proposal ProposalNumber) {
	for {
		seen := s.round.Load()
		if proposal.Round <= seen || s.round.CompareAndSwap(seen, proposal.Round) {
			return
		}
	}
}

// jitter returns a random duration below the limit.
func (s *Store) jitter(limit time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}
