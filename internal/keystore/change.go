package keystore

import (
	"bytes"
	"context"
	"encoding/json"
	"time"
)

// Decide says what follows the current value: the next one, or an error that refuses the
// change. It may be asked several times, each time on a value that a majority holds.
type Decide func(current Register) (json.RawMessage, error)

// Change writes a key. The slot returned is the one written, or with a refusal of decide the
// committed one that it refused on. ErrUncertain says that the write may take effect.
func (s *Store) Change(ctx context.Context, name string, decide Decide) (Register, error) {
	key := s.keyState(name)
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	if !key.owned || !key.IsCertain() {
		if register, known := s.readCommitted(ctx, name); known {
			if _, rejected := decide(register); rejected != nil {
				return register, rejected
			}
		}
		if err := s.becomeOwnerWithRetry(ctx, key); err != nil {
			return Register{}, err
		}
	}
	value, rejected := decide(key.register)
	if rejected != nil {
		if s.confirm(ctx, key) == nil {
			return key.register, rejected
		}
		if err := s.becomeOwnerWithRetry(ctx, key); err != nil {
			return Register{}, err
		}
		if value, rejected = decide(key.register); rejected != nil {
			return key.register, rejected
		}
	}
	return s.writeValue(ctx, key, value, decide)
}

// write commits a value. After an uncertain outcome the key is taken anew: what is committed
// then tells whether the write took effect.
func (s *Store) writeValue(ctx context.Context, key *keyState, value json.RawMessage, decide Decide) (Register, error) {
	for {
		next := key.NextProposal(value)
		err := s.commit(ctx, key, next)
		if err == nil {
			key.register = next
			return next, nil
		}
		if ctx.Err() != nil || s.becomeOwnerWithRetry(ctx, key) != nil {
			return Register{}, err
		}
		if bytes.Equal(key.register.Value, value) {
			return key.register, nil
		}
		again, rejected := decide(key.register)
		if rejected != nil {
			return key.register, rejected
		}
		value = again
	}
}

// Seize takes a lease's key once, without trying again, and writes what decide says.
func (s *Store) Acquire(ctx context.Context, name string, decide func(current Register) json.RawMessage) (Register, error) {
	key := s.keyState(name)
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	if err := s.becomeOwner(ctx, key); err != nil {
		return Register{}, err
	}
	next := key.NextProposal(decide(key.register))
	if err := s.commit(ctx, key, next); err != nil {
		return Register{}, err
	}
	key.register = next
	return next, nil
}

// Rewrite writes a lease's key once more under the ownership that Seize brought, without taking it
// anew: decide returns the next value for the last one that this owner knows to be in force, or
// refuses. After ErrUncertain the key is still owned, and a later Rewrite supersedes the proposal;
// until then a successor may find either value. After ErrContended no write can succeed under this
// ownership any more, though Renew may: another daemon took the key, or a member whose promise is
// counted has lost its disk.
func (s *Store) Update(ctx context.Context, name string, decide Decide) error {
	key := s.keyState(name)
	if err := key.lock(ctx); err != nil {
		return err
	}
	defer key.unlock()
	if !key.owned {
		return ErrContended
	}
	value, rejected := decide(key.register)
	if rejected != nil {
		return rejected
	}
	next := key.NextProposal(value)
	key.addLatePromises()
	result, agreed := s.queryQuorum(ctx, key.AcceptMessage(next), key.CountsAcceptance)
	if agreed {
		key.Ownership = key.WithCommitted(next)
		return nil
	}
	key.Ownership = key.WithUncertain(next)
	return key.addAcceptingMembers(result)
}

// addAcceptingMembers counts the members that accepted a proposal from now on, also those that never
// promised: to accept a ballot is to promise it. It returns what is known of the proposal's fate.
func (k *keyState) addAcceptingMembers(result *round) error {
	outcome := ErrUncertain
	for address, reply := range result.replies {
		switch {
		case reply.Rejection == RejectedDiskLost || reply.Rejection == RejectedPromised:
			outcome = ErrContended
		case reply.Granted && k.diskIncarnations[address] == 0:
			k.Ownership = k.WithPromise(address, reply)
		}
	}
	return outcome
}

// Renew confirms at a majority that the key is still owned, which prolongs a lease.
func (s *Store) Renew(ctx context.Context, name string) error {
	return s.callAsOwner(ctx, name, OperationRenew)
}

// Release ends an owned lease early. It must not be called before the last act under it.
func (s *Store) Release(ctx context.Context, name string) error {
	return s.callAsOwner(ctx, name, OperationRelease)
}

func (s *Store) callAsOwner(ctx context.Context, name string, operation Operation) error {
	key := s.keyState(name)
	if err := key.lock(ctx); err != nil {
		return err
	}
	defer key.unlock()
	return s.confirmWith(ctx, key, operation)
}

func (s *Store) confirm(ctx context.Context, key *keyState) error {
	return s.confirmWith(ctx, key, OperationRenew)
}

func (s *Store) confirmWith(ctx context.Context, key *keyState, operation Operation) error {
	if !key.owned {
		return ErrContended
	}
	message := Message{Operation: operation, Key: key.name, Proposal: key.proposal}
	if _, agreed := s.queryQuorum(ctx, message, isGranted); !agreed {
		return ErrNoMajority
	}
	return nil
}

// take makes one attempt to own the key.
func (s *Store) becomeOwner(ctx context.Context, key *keyState) error {
	key.owned = false
	proposal := s.nextProposalNumber()
	promised, agreed := s.queryQuorumWith(ctx, PrepareMessage(key.name, proposal), func(r *round) voteFunc { return r.countsPromise })
	if !agreed {
		return promised.prepareError()
	}
	key.Ownership, key.latePromises = NewOwnership(key.name, proposal, promised.replies), promised.lateReplies
	if key.NeedsRecommit() {
		if err := s.commit(ctx, key, key.register); err != nil {
			return err
		}
	}
	key.owned = true
	return nil
}

// addLatePromises counts the promises that came in after a quorum was reached, so that a write
// does not hang on the members that were quickest when the key was taken.
func (k *keyState) addLatePromises() {
	for {
		select {
		case late := <-k.latePromises:
			k.Ownership = k.WithPromise(late.address, late.reply)
		default:
			return
		}
	}
}

func (r *round) prepareError() error {
	for _, reply := range r.replies {
		if !reply.Granted && reply.Rejection.isContended() {
			return ErrContended
		}
	}
	return ErrNoMajority
}

func (s *Store) commit(ctx context.Context, key *keyState, register Register) error {
	key.addLatePromises()
	if _, agreed := s.queryQuorum(ctx, key.AcceptMessage(register), key.CountsAcceptance); agreed {
		return nil
	}
	key.owned = false
	return ErrUncertain
}

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 320 * time.Millisecond
)

// becomeOwnerWithRetry tries to own the key, at drawn intervals, for as long as the context lasts.
func (s *Store) becomeOwnerWithRetry(ctx context.Context, key *keyState) error {
	backoff := initialBackoff
	for {
		err := s.becomeOwner(ctx, key)
		if err == nil || ctx.Err() != nil {
			return err
		}
		timer := time.NewTimer(backoff/2 + s.jitter(backoff))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
