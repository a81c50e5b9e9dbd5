package keystore

import (
	"bytes"
	"context"
	"encoding/json"
	"time"
)

// Decide says what follows the current value: the next one, or an error that refuses the
// change. It may be asked several times, each time on a value that a majority holds.
type Decide func(current Slot) (json.RawMessage, error)

// Change writes a key. The slot returned is the one written, or with a refusal of decide the
// committed one that it refused on. ErrUncertain says that the write may take effect.
func (s *Store) Change(ctx context.Context, name string, decide Decide) (Slot, error) {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return Slot{}, err
	}
	defer key.leave()
	if !key.held || !key.Certain() {
		if slot, known := s.committed(ctx, name); known {
			if _, refused := decide(slot); refused != nil {
				return slot, refused
			}
		}
		if err := s.takeWithin(ctx, key); err != nil {
			return Slot{}, err
		}
	}
	value, refused := decide(key.slot)
	if refused != nil {
		if s.confirm(ctx, key) == nil {
			return key.slot, refused
		}
		if err := s.takeWithin(ctx, key); err != nil {
			return Slot{}, err
		}
		if value, refused = decide(key.slot); refused != nil {
			return key.slot, refused
		}
	}
	return s.write(ctx, key, value, decide)
}

// write commits a value. After an uncertain outcome the key is taken anew: what is committed
// then tells whether the write took effect.
func (s *Store) write(ctx context.Context, key *key, value json.RawMessage, decide Decide) (Slot, error) {
	for {
		next := key.Next(value)
		err := s.commit(ctx, key, next)
		if err == nil {
			key.slot = next
			return next, nil
		}
		if ctx.Err() != nil || s.takeWithin(ctx, key) != nil {
			return Slot{}, err
		}
		if bytes.Equal(key.slot.Value, value) {
			return key.slot, nil
		}
		again, refused := decide(key.slot)
		if refused != nil {
			return key.slot, refused
		}
		value = again
	}
}

// Seize takes a lease's key once, without trying again, and writes what decide says.
func (s *Store) Seize(ctx context.Context, name string, decide func(current Slot) json.RawMessage) (Slot, error) {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return Slot{}, err
	}
	defer key.leave()
	if err := s.take(ctx, key); err != nil {
		return Slot{}, err
	}
	next := key.Next(decide(key.slot))
	if err := s.commit(ctx, key, next); err != nil {
		return Slot{}, err
	}
	key.slot = next
	return next, nil
}

// Rewrite writes a lease's key once more under the ownership that Seize brought, without taking it
// anew: decide returns the next value for the last one that this owner knows to be in force, or
// refuses. After ErrUncertain the key is still owned, and a later Rewrite supersedes the proposal;
// until then a successor may find either value. After ErrContended no write can succeed under this
// ownership any more, though Renew may: another daemon took the key, or a member whose promise is
// counted has lost its disk.
func (s *Store) Rewrite(ctx context.Context, name string, decide Decide) error {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return err
	}
	defer key.leave()
	if !key.held {
		return ErrContended
	}
	value, refused := decide(key.slot)
	if refused != nil {
		return refused
	}
	next := key.Next(value)
	key.joinLatePromises()
	asked, agreed := s.ask(ctx, key.AcceptMessage(next), key.Accepts)
	if agreed {
		key.Ownership = key.Wrote(next)
		return nil
	}
	key.Ownership = key.Unclear(next)
	return key.joinAccepting(asked)
}

// joinAccepting counts the members that accepted a proposal from now on, also those that never
// promised: to accept a ballot is to promise it. It returns what is known of the proposal's fate.
func (k *key) joinAccepting(asked *round) error {
	outcome := ErrUncertain
	for address, reply := range asked.replies {
		switch {
		case reply.Refusal == RefusedWiped || reply.Refusal == RefusedPromised:
			outcome = ErrContended
		case reply.Granted && k.incarnations[address] == 0:
			k.Ownership = k.Joined(address, reply)
		}
	}
	return outcome
}

// Renew confirms at a majority that the key is still owned, which prolongs a lease.
func (s *Store) Renew(ctx context.Context, name string) error {
	return s.ownedCall(ctx, name, OperationRenew)
}

// Release ends an owned lease early. It must not be called before the last act under it.
func (s *Store) Release(ctx context.Context, name string) error {
	return s.ownedCall(ctx, name, OperationRelease)
}

func (s *Store) ownedCall(ctx context.Context, name string, operation Operation) error {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return err
	}
	defer key.leave()
	return s.confirmBy(ctx, key, operation)
}

func (s *Store) confirm(ctx context.Context, key *key) error {
	return s.confirmBy(ctx, key, OperationRenew)
}

func (s *Store) confirmBy(ctx context.Context, key *key, operation Operation) error {
	if !key.held {
		return ErrContended
	}
	message := Message{Operation: operation, Key: key.name, Ballot: key.ballot}
	if _, agreed := s.ask(ctx, message, granted); !agreed {
		return ErrNoMajority
	}
	return nil
}

// take makes one attempt to own the key.
func (s *Store) take(ctx context.Context, key *key) error {
	key.held = false
	ballot := s.nextBallot()
	promised, agreed := s.askRound(ctx, PromiseMessage(key.name, ballot), func(r *round) judge { return r.promises })
	if !agreed {
		return promised.failure()
	}
	key.Ownership, key.latePromises = Owned(key.name, ballot, promised.replies), promised.late
	if key.Carries() {
		if err := s.commit(ctx, key, key.slot); err != nil {
			return err
		}
	}
	key.held = true
	return nil
}

// joinLatePromises counts the promises that came in after a quorum was reached, so that a write
// does not hang on the members that were quickest when the key was taken.
func (k *key) joinLatePromises() {
	for {
		select {
		case one := <-k.latePromises:
			k.Ownership = k.Joined(one.address, one.reply)
		default:
			return
		}
	}
}

func (r *round) failure() error {
	for _, reply := range r.replies {
		if !reply.Granted && reply.Refusal.contended() {
			return ErrContended
		}
	}
	return ErrNoMajority
}

func (s *Store) commit(ctx context.Context, key *key, slot Slot) error {
	key.joinLatePromises()
	if _, agreed := s.ask(ctx, key.AcceptMessage(slot), key.Accepts); agreed {
		return nil
	}
	key.held = false
	return ErrUncertain
}

const (
	firstPause   = 20 * time.Millisecond
	longestPause = 320 * time.Millisecond
)

// takeWithin tries to own the key, at drawn intervals, for as long as the context lasts.
func (s *Store) takeWithin(ctx context.Context, key *key) error {
	pause := firstPause
	for {
		err := s.take(ctx, key)
		if err == nil || ctx.Err() != nil {
			return err
		}
		timer := time.NewTimer(pause/2 + s.jitter(pause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
		pause = min(2*pause, longestPause)
	}
}
