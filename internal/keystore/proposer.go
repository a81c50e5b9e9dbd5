package keystore

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

type Transport interface {
	Send(ctx context.Context, address string, message Message) (Reply, error)
}

type Store struct {
	self      string
	nonce     uint32
	transport Transport
	clock     Clock
	members   atomic.Pointer[Members]
	round     atomic.Uint32
	lock      sync.Mutex
	keys      map[string]*owned
}

type owned struct {
	turn         chan struct{}
	held         bool
	slot         Slot
	incarnations map[string]uint64
}

var (
	ErrNoMajority = errors.New("no majority of members reached")
	ErrContended  = errors.New("another daemon holds the key")
	ErrUncertain  = errors.New("outcome of the write not known")
)

func NewStore(self string, nonce uint32, transport Transport, clock Clock, members Members) *Store {
	store := &Store{self: self, nonce: nonce, transport: transport, clock: clock, keys: map[string]*owned{}}
	store.members.Store(&members)
	return store
}

func (s *Store) Members() Members { return *s.members.Load() }

func (s *Store) Adopt(members Members) bool {
	for {
		current := s.members.Load()
		if members.Number <= current.Number {
			return false
		}
		if s.members.CompareAndSwap(current, &members) {
			return true
		}
	}
}

func (s *Store) key(name string) *owned {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.keys[name] == nil {
		s.keys[name] = &owned{turn: make(chan struct{}, 1), slot: Slot{Key: name}}
	}
	return s.keys[name]
}

func (o *owned) enter(ctx context.Context) error {
	select {
	case o.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoMajority
	}
}

func (o *owned) leave() { <-o.turn }

const askBound = 900 * time.Millisecond

func (s *Store) take(ctx context.Context, key *owned, name string) error {
	key.held = false
	ballot := MakeBallot(s.round.Add(1), s.nonce)
	replies, members := s.ask(ctx, Message{Operation: OperationPromise, Key: name, Ballot: ballot}, granted(s.Members()))
	if !granted(members)(replies) {
		for _, reply := range replies {
			if !reply.Granted && (reply.Reason == "promised higher" || reply.Reason == "tenure runs") {
				return ErrContended
			}
		}
		return ErrNoMajority
	}
	newest := Slot{Key: name}
	incarnations := map[string]uint64{}
	for address, reply := range replies {
		if !reply.Granted {
			continue
		}
		incarnations[address] = reply.Incarnation
		if reply.Slot.Newer(newest) {
			newest = reply.Slot
		}
	}
	key.incarnations = incarnations
	key.slot = Slot{Key: name, Promised: ballot, Ballot: ballot, Sequence: newest.Sequence, Value: newest.Value}
	if newest.Ballot > 0 {
		if err := s.commit(ctx, key, key.slot); err != nil {
			return err
		}
	}
	key.held = true
	return nil
}

func (s *Store) commit(ctx context.Context, key *owned, slot Slot) error {
	message := Message{Operation: OperationAccept, Key: slot.Key, Ballot: slot.Ballot, Sequence: slot.Sequence, Value: slot.Value, Incarnations: key.incarnations}
	enough := func(members Members) func(map[string]Reply) bool {
		return func(replies map[string]Reply) bool {
			agreed := map[string]bool{}
			for address, reply := range replies {
				promised, seen := key.incarnations[address]
				agreed[address] = reply.Granted && (!seen || promised == reply.Incarnation)
			}
			return members.Quorum(agreed)
		}
	}
	replies, members := s.ask(ctx, message, enough(s.Members()))
	if enough(members)(replies) {
		return nil
	}
	key.held = false
	return ErrUncertain
}

func (s *Store) Change(ctx context.Context, name string, decide func(current Slot) (json.RawMessage, error)) (Slot, error) {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return Slot{}, err
	}
	defer key.leave()
	if !key.held {
		if err := s.takeWithin(ctx, key, name); err != nil {
			return Slot{}, err
		}
	}
	value, refused := decide(key.slot)
	if refused != nil {
		if s.confirm(ctx, key, name) == nil {
			return key.slot, refused
		}
		if err := s.takeWithin(ctx, key, name); err != nil {
			return Slot{}, err
		}
		if value, refused = decide(key.slot); refused != nil {
			return key.slot, refused
		}
	}
	next := key.slot
	next.Sequence++
	next.Value = value
	if err := s.commit(ctx, key, next); err != nil {
		return Slot{}, err
	}
	key.slot = next
	return next, nil
}

func (s *Store) takeWithin(ctx context.Context, key *owned, name string) error {
	pause := 10 * time.Millisecond
	for {
		err := s.take(ctx, key, name)
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait := time.NewTimer(pause + time.Duration(s.nonce%17)*time.Millisecond)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return err
		}
		pause *= 2
	}
}

func (s *Store) confirm(ctx context.Context, key *owned, name string) error {
	if !key.held {
		return ErrContended
	}
	replies, members := s.ask(ctx, Message{Operation: OperationRenew, Key: name, Ballot: key.slot.Promised}, granted(s.Members()))
	if !granted(members)(replies) {
		return ErrNoMajority
	}
	return nil
}
