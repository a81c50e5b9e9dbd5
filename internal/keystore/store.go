package keystore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Transport carries a message to a member and brings its reply back. A message may arrive
// twice or late; no step minds.
type Transport interface {
	Send(ctx context.Context, address string, message Message) (Reply, error)
}

// Store changes and reads keys on behalf of one daemon. Any goroutine may call its methods;
// calls on one key follow each other.
type Store struct {
	self        string
	incarnation uint64
	transport   Transport
	membership  atomic.Pointer[Membership]
	round       atomic.Uint64
	lock        sync.Mutex
	random      *rand.Rand
	keys        map[string]*keyState
}

// keyState is what the store remembers of one key: whether it owns it, and as what.
type keyState struct {
	name      string
	semaphore chan struct{}
	owned     bool
	Ownership
	latePromises <-chan memberReply
}

// Errors of Store. A caller may try again after each.
var (
	// ErrNoMajority says that nothing was decided: too few members answered.
	ErrNoMajority = errors.New("no majority of members reached")
	// ErrContended says that nothing was decided: another daemon owns the key.
	ErrContended = errors.New("another daemon holds the key")
	// ErrUncertain says that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write not known")
)

// NewStore makes the proposer of the daemon at address self. life must differ from that of
// every other life of this daemon: 64 bits from the system's source of randomness do, but for
// one chance in 2^64 a pair of lives. members is the newest list known.
func NewStore(self string, incarnation uint64, transport Transport, membership Membership) *Store {
	store := &Store{
		self: self, incarnation: incarnation, transport: transport, random: rand.New(rand.NewPCG(incarnation, 0)), keys: map[string]*keyState{},
	}
	store.membership.Store(&membership)
	return store
}

// Membership is the newest list that the store knows.
func (s *Store) Membership() Membership { return *s.membership.Load() }

// Adopt takes over a newer list and says whether it was newer.
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
		s.keys[name] = &keyState{name: name, semaphore: make(chan struct{}, 1), Ownership: Ownership{register: Register{Key: name}}}
	}
	return s.keys[name]
}

func (k *keyState) lock(ctx context.Context) error {
	select {
	case k.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoMajority
	}
}

func (k *keyState) unlock() { <-k.semaphore }

// nextProposalNumber is above every ballot that this store has seen, and is given to no other attempt.
func (s *Store) nextProposalNumber() ProposalNumber {
	return ProposalNumber{Round: s.round.Add(1), Proposer: s.self, Incarnation: s.incarnation}
}

func (s *Store) observeProposalNumber(proposal ProposalNumber) {
	for {
		seen := s.round.Load()
		if proposal.Round <= seen || s.round.CompareAndSwap(seen, proposal.Round) {
			return
		}
	}
}

func (s *Store) jitter(limit time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}
