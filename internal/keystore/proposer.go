package keystore

import (
	"bytes"
	"context"
	"encoding/json"
	"time"
)

const (
	// initialBackoff and maxBackoff limit the pauses between attempts to own a key.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 320 * time.Millisecond
)

// ChangeFunc returns the value that follows the current one, or an error that rejects the change. It may be called
// several times, each time with a value that a majority holds.
type ChangeFunc func(current Register) (json.RawMessage, error)

// Change writes a key. It returns the register written or, with an error of decide, the committed register that the
// error is based on. ErrUncertain means that the write may take effect.
//
// An error of decide is returned only once a majority has confirmed the value that it is based on: a change must never
// be rejected because of an outdated value.
func (s *Store) Change(ctx context.Context, name string, decide ChangeFunc) (Register, error) {
	key := s.keyState(name)
	began := time.Now()
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	defer s.collectStats(key, began)()
	if !key.owned || !key.IsCertain() {
		// A change that will be rejected need not take the key from its owner.
		if committed, known := s.ReadCommitted(ctx, name); known {
			if _, rejected := decide(committed); rejected != nil {
				return committed, rejected
			}
		}
		if err := s.becomeOwnerWithRetry(ctx, key); err != nil {
			return Register{}, err
		}
	}
	value, rejected := decide(key.register)
	if rejected != nil {
		if s.confirmSince(ctx, key, began) {
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

// writeValue commits a value. After an uncertain outcome it becomes the owner again: the value that is then committed
// shows whether the write took effect.
func (s *Store) writeValue(ctx context.Context, key *keyState, value json.RawMessage, decide ChangeFunc) (Register, error) {
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
			// The write, or another one of the same value, took effect.
			return key.register, nil
		}
		revised, rejected := decide(key.register)
		if rejected != nil {
			return key.register, rejected
		}
		value = revised
	}
}

// Acquire makes one attempt to become the owner of a lease's key, and writes the value that decide returns.
func (s *Store) Acquire(
	ctx context.Context, name string, decide func(current Register) json.RawMessage,
) (Register, error) {
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

// Update writes a lease's key again under the ownership that Acquire obtained, without becoming the owner again. decide
// returns the value that follows the last one that this owner knows to be in force, or rejects the change.
//
// After ErrUncertain the key is still owned, and a later Update supersedes the proposal; until then a successor may
// find either value. After ErrContended no write under this ownership can succeed, although Renew may: another process
// owns the key, or a member whose promise is counted has lost its disk.
func (s *Store) Update(ctx context.Context, name string, decide ChangeFunc) error {
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
	return key.addAcceptingMembers(&result.replySet)
}

// addAcceptingMembers makes the later votes of all members that accepted a proposal count, including members that never
// promised: accepting a proposal also promises its number. It returns what is known about the proposal's outcome.
func (k *keyState) addAcceptingMembers(accepted *replySet) error {
	outcome := ErrUncertain
	for address, reply := range accepted.replies {
		switch {
		case reply.Rejection == RejectedDiskLost || reply.Rejection == RejectedPromised:
			outcome = ErrContended
		case reply.Granted && k.diskIncarnations[address] == 0:
			k.Ownership = k.WithPromise(address, reply)
		}
	}
	return outcome
}

// Renew confirms at a majority that the key is still owned, which extends a lease.
func (s *Store) Renew(ctx context.Context, name string) error {
	return s.callAsOwner(ctx, name, OperationRenew)
}

// Release ends an owned lease early. The holder must have completed its last action under it.
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

// confirmWith confirms at a majority that the key is still owned.
func (s *Store) confirmWith(ctx context.Context, key *keyState, operation Operation) error {
	if !key.owned {
		return ErrContended
	}
	began := time.Now()
	message := Message{Operation: operation, Key: key.name, Proposal: key.proposal}
	if _, agreed := s.queryQuorum(ctx, message, isGranted); !agreed {
		return ErrNoMajority
	}
	key.confirmedFrom = began
	return nil
}

// confirmSince reports whether a majority confirmed that the key is owned in a round that began after the given time.
// Calls that waited for each other therefore share one round.
func (s *Store) confirmSince(ctx context.Context, key *keyState, earliest time.Time) bool {
	if key.owned && key.confirmedFrom.After(earliest) {
		return true
	}
	return s.confirmWith(ctx, key, OperationRenew) == nil
}

// becomeOwner makes one attempt to own the key: it prepares at a quorum and commits the value that it adopts.
func (s *Store) becomeOwner(ctx context.Context, key *keyState) error {
	key.owned = false
	proposal := s.nextProposalNumber()
	prepared, agreed := s.queryQuorumWith(ctx, PrepareMessage(key.name, proposal), promiseVotes)
	if !agreed {
		err := prepared.prepareError()
		key.stats.recordPrepare(err)
		return err
	}
	key.stats.recordPrepare(nil)
	key.Ownership = NewOwnership(key.name, proposal, prepared.replies)
	key.latePromises = prepared.lateReplies
	if key.NeedsRecommit() {
		if err := s.commit(ctx, key, key.register); err != nil {
			return err
		}
	}
	key.owned = true
	return nil
}

// becomeOwnerWithRetry makes attempts to own the key, with a jittered backoff between them, until the context ends.
func (s *Store) becomeOwnerWithRetry(ctx context.Context, key *keyState) error {
	return s.becomeOwnerUnless(ctx, key, func(error) bool { return false })
}

// becomeOwnerUnlessContended is becomeOwnerWithRetry, but it gives up when another process has promises for a higher
// number: processes that keep retrying with higher numbers of their own can preempt each other for a long time over
// slow links.
func (s *Store) becomeOwnerUnlessContended(ctx context.Context, key *keyState) error {
	return s.becomeOwnerUnless(ctx, key, func(err error) bool { return err == ErrContended })
}

// becomeOwnerUnless makes attempts until one succeeds, one fails with a final error, or the context ends.
func (s *Store) becomeOwnerUnless(ctx context.Context, key *keyState, isFinal func(err error) bool) error {
	backoff := initialBackoff
	for {
		err := s.becomeOwner(ctx, key)
		if err == nil || ctx.Err() != nil || isFinal(err) {
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

// commit has a quorum accept a proposal. After an error the key no longer counts as owned, since the proposal may or
// may not be in force.
func (s *Store) commit(ctx context.Context, key *keyState, proposal Register) error {
	key.addLatePromises()
	began := time.Now()
	_, agreed := s.queryQuorum(ctx, key.AcceptMessage(proposal), key.CountsAcceptance)
	key.stats.recordCommit(agreed)
	if agreed {
		key.confirmedFrom = began
		return nil
	}
	key.owned = false
	return ErrUncertain
}

// addLatePromises adds the promises that arrived after a quorum was reached, so that a write does not depend on the
// members that replied first.
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
