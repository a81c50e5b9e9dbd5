package keystore

import (
	"context"
	"encoding/json"
	"time"
)

// Decision is what a step of ReadModifyWrite concludes.
type Decision struct {
	// Value is the next value of the key, or nil if the step changes nothing.
	Value json.RawMessage
	// MaxAge is how long before the call a majority may have confirmed the ownership on which a step that changes nothing
	// rests. Zero asks for a round that began after the call: anything else may be out of date.
	MaxAge time.Duration
}

// ModifyFunc decides on the value in force. It may be called several times in one ReadModifyWrite: each time but the last
// what came of it was not confirmed, and may or may not be in force. current.Promised names the ownership under which it decides: what a caller
// remembers beside the value, as times, is valid under the same ownership only.
//
// adoptedFrom is the number of the owner whose value this one found when it began, or zero. Every owner commits what it finds under
// its own number before it acts: if the number is one of this process, nobody else has owned the key since.
type ModifyFunc func(current Register, adoptedFrom ProposalNumber) Decision

// ReadModifyWrite applies a step to a key as its owner, and takes the key from another owner if need be. It returns the register that
// the step wrote, or that it left as it was.
//
// ErrUncertain says that what a step wrote may be in force. After any other error nothing that a step wrote has ever been
// proposed, nor will it be.
func (s *Store) ReadModifyWrite(ctx context.Context, name string, step ModifyFunc) (Register, error) {
	key := s.keyState(name)
	began := time.Now()
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	defer s.beginEffort(key, began)()
	isUncertain := false
	for {
		if !key.owned || !key.IsCertain() {
			if err := s.becomeOwnerUnlessContended(ctx, key); err != nil {
				return Register{}, operateError(err, isUncertain)
			}
		}
		register, err := s.applyStep(ctx, key, step, began)
		if err == nil {
			return register, nil
		}
		isUncertain = isUncertain || err == ErrUncertain
		if ctx.Err() != nil {
			return Register{}, operateError(err, isUncertain)
		}
	}
}

// applyStep calls the step once and has its outcome confirmed. After an error the key counts as owned no more; ErrUncertain
// says that a value was proposed.
func (s *Store) applyStep(ctx context.Context, key *keyState, step ModifyFunc, began time.Time) (Register, error) {
	decided := step(key.register, key.adoptedFrom)
	if decided.Value == nil {
		if s.confirmSince(ctx, key, began.Add(-decided.MaxAge)) {
			return key.register, nil
		}
		key.owned = false
		return Register{}, ErrContended
	}
	next := key.NextProposal(decided.Value)
	if err := s.commit(ctx, key, next); err != nil {
		return Register{}, err
	}
	key.register = next
	return next, nil
}

// operateError is the error of a call whose last attempt failed. A failure to recommit an older value says nothing of what a step
// wrote.
func operateError(err error, isUncertain bool) error {
	if isUncertain {
		return ErrUncertain
	}
	if err == ErrUncertain {
		return ErrNoMajority
	}
	return err
}
