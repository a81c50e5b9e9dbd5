package keystore

import (
	"context"
	"encoding/json"
	"time"
)

// Decision is the result of a ModifyFunc.
type Decision struct {
	// Value is the next value of the key, or nil if it is to stay as it is.
	Value json.RawMessage
	// MaxAge limits how long before the call a majority may have confirmed the ownership that a decision without a
	// value is based on. Zero requires a round that began after the call: anything older may be outdated.
	MaxAge time.Duration
}

// ModifyFunc decides on the value in force. It may be called several times in one ReadModifyWrite: the results of all
// calls but the last were not confirmed, and may or may not be in force. current.Promised identifies the ownership
// under which it decides: anything that a caller remembers besides the value, such as times, is valid under the same
// ownership only.
//
// adoptedFrom is the number of the owner whose value this owner adopted, or zero. Every owner commits the adopted value
// under its own number before it acts: if the number is one of this process, no other process has owned the key since.
type ModifyFunc func(current Register, adoptedFrom ProposalNumber) Decision

// ReadModifyWrite calls modify on the value of a key as its owner, after taking the key from another owner if
// necessary. It returns the register that was written, or that was left unchanged.
//
// ErrUncertain means that a value returned by modify may be in force. After any other error no value returned by modify
// has been proposed, nor will be.
func (s *Store) ReadModifyWrite(ctx context.Context, name string, modify ModifyFunc) (Register, error) {
	key := s.keyState(name)
	began := time.Now()
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	defer s.collectStats(key, began)()
	isUncertain := false
	for {
		if !key.owned || !key.IsCertain() {
			if err := s.becomeOwnerUnlessContended(ctx, key); err != nil {
				return Register{}, modifyError(err, isUncertain)
			}
		}
		register, err := s.modifyOnce(ctx, key, modify, began)
		if err == nil {
			return register, nil
		}
		isUncertain = isUncertain || err == ErrUncertain
		if ctx.Err() != nil {
			return Register{}, modifyError(err, isUncertain)
		}
	}
}

// modifyOnce calls modify once and has its decision confirmed. After an error the key no longer counts as owned.
// ErrUncertain means that a value was proposed.
func (s *Store) modifyOnce(ctx context.Context, key *keyState, modify ModifyFunc, began time.Time) (Register, error) {
	decided := modify(key.register, key.adoptedFrom)
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

// modifyError returns the error of a call whose last attempt failed. If that attempt failed to recommit an older value,
// this says nothing about the values returned by modify.
func modifyError(err error, isUncertain bool) error {
	if isUncertain {
		return ErrUncertain
	}
	if err == ErrUncertain {
		return ErrNoMajority
	}
	return err
}
