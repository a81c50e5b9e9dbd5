package keystore

import (
	"bytes"
	"context"
	"encoding/json"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the pauses between attempts to own a key.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 320 * time.Millisecond
)

// ChangeFunc says what follows the current value: the next one, or an error that rejects the change. It may be called several
// times, each time on a value that a majority holds.
type ChangeFunc func(current Register) (json.RawMessage, error)

// Change writes a key. The register returned is the one written, or with an error of decide the committed one that it was
// decided on. ErrUncertain says that the write may take effect.
//
// An error of decide is returned only once a majority has confirmed the value that it was decided on: a rejection must
// never be caused by a value that is out of date.
func (s *Store) Change(ctx context.Context, name string, decide ChangeFunc) (Register, error) {
	key := s.keyState(name)
	began := time.Now()
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	defer s.beginEffort(key, began)()
	if !key.owned || !key.IsCertain() {
		// A change that is to be rejected need not take the key from its owner.
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

// writeValue commits a value. After an uncertain outcome it becomes the owner anew: what is committed then shows whether
// the write took effect.
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
			// The write took effect after all, or another with the same value did.
			return key.register, nil
		}
		again, rejected := decide(key.register)
		if rejected != nil {
			return key.register, rejected
		}
		value = again
	}
}

// Acquire becomes the owner of a lease's key, by one attempt, and writes what decide says.
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

// Update writes a lease's key once more under the ownership that Acquire brought, without becoming the owner anew: decide
// returns the next value for the last one that this owner knows to be in force, or rejects.
//
// After ErrUncertain the key is still owned, and a later Update supersedes the proposal; until then a successor may find
// either value. After ErrContended no write can succeed under this ownership any more, though Renew may: another process
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

// addAcceptingMembers counts the members that accepted a proposal from now on, also those that never promised: to accept
// a proposal is to promise its number. It returns what is known of the proposal's outcome.
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

// confirmWith has a majority confirm that the key is still owned.
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

// confirmSince says whether a majority confirmed that the key is owned in a round that began after the given time. Calls that
// waited for each other so share one round.
func (s *Store) confirmSince(ctx context.Context, key *keyState, earliest time.Time) bool {
	if key.owned && key.confirmedFrom.After(earliest) {
		return true
	}
	return s.confirmWith(ctx, key, OperationRenew) == nil
}

// becomeOwner makes one attempt to own the key: it prepares at a quorum, and commits the value that it adopts.
func (s *Store) becomeOwner(ctx context.Context, key *keyState) error {
	key.owned = false
	proposal := s.nextProposalNumber()
	prepared, agreed := s.queryQuorumWith(ctx, PrepareMessage(key.name, proposal), promiseVotes)
	if !agreed {
		err := prepared.prepareError()
		key.effort.recordPrepare(err)
		return err
	}
	key.effort.recordPrepare(nil)
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

// becomeOwnerWithRetry makes attempts, with a jittered backoff between them, for as long as the context lasts.
func (s *Store) becomeOwnerWithRetry(ctx context.Context, key *keyState) error {
	return s.becomeOwnerUnless(ctx, key, func(error) bool { return false })
}

// becomeOwnerUnlessContended is becomeOwnerWithRetry, but it leaves the key to another process that has promises for a higher
// number: processes that go on with higher numbers of their own may preempt each other for long over slow links.
func (s *Store) becomeOwnerUnlessContended(ctx context.Context, key *keyState) error {
	return s.becomeOwnerUnless(ctx, key, func(err error) bool { return err == ErrContended })
}

// becomeOwnerUnless makes attempts until one succeeds, the context ends, or one fails with an error that is final.
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

// commit has a quorum accept a proposal. After an error the key counts as owned no more, since the proposal may or may not
// be in force.
func (s *Store) commit(ctx context.Context, key *keyState, proposal Register) error {
	key.addLatePromises()
	began := time.Now()
	_, agreed := s.queryQuorum(ctx, key.AcceptMessage(proposal), key.CountsAcceptance)
	key.effort.recordCommit(agreed)
	if agreed {
		key.confirmedFrom = began
		return nil
	}
	key.owned = false
	return ErrUncertain
}

// addLatePromises counts the promises that came in after a quorum was reached, so that a write does not depend on the
// members that happened to be the quickest.
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
