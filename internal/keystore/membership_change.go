package keystore

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// ChangeMembership commits the membership that follows the current one. It returns ErrSuperseded if a membership newer
// than current is, or may be, in force already.
func (s *Store) ChangeMembership(ctx context.Context, current, next Membership) (Register, error) {
	if current.IsRolledBackBy(next) {
		register, err := s.rollBackMembership(ctx, current)
		if err != errCompletionFound {
			return register, err
		}
		// A completion was accepted by some member and may be in force. Change commits it, by the joint quorum, before
		// it decides.
	}
	return s.Change(ctx, MembershipKey, func(register Register) (json.RawMessage, error) {
		if decodeMembership(register).Version > current.Version {
			return nil, ErrSuperseded
		}
		return json.Marshal(next)
	})
}

// rollBackMembership ends a joint membership with its current members, by a majority of these alone. It succeeds even
// if the next members have no majority: otherwise a change that can be neither completed nor rolled back would block
// all writes forever.
//
// The joint membership can't be completed at the same time. A completion is a value of the same key, and its quorum,
// like every quorum of the joint membership, includes a majority of the current members. So either the prepare round
// here finds the completion, or the proposer of the completion finds this proposal or is rejected by a member that has
// promised this number. The same holds for all other keys: whatever was decided under the joint membership was accepted
// by a majority of the current members, which are the members of the next version. A majority of the next members alone
// would not be enough: it need not share a member with a quorum of the current members, which remain in force after the
// rollback.
func (s *Store) rollBackMembership(ctx context.Context, joint Membership) (Register, error) {
	key := s.keyState(MembershipKey)
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	key.owned = false
	electorate := RollbackElectorate(joint)
	proposal := s.nextProposalNumber()
	prepared, agreed := s.queryElectorate(ctx, joint, electorate, PrepareMessage(MembershipKey, proposal), promiseVotes)
	if !agreed {
		return Register{}, prepared.prepareError()
	}
	ownership := NewOwnership(MembershipKey, proposal, prepared.replies)
	next, err := ownership.ProposeRollback(joint)
	if err != nil {
		return Register{}, err
	}
	accepts := func(*replySet) VoteFunc { return ownership.CountsAcceptance }
	if _, agreed := s.queryElectorate(ctx, joint, electorate, ownership.AcceptMessage(next), accepts); !agreed {
		return Register{}, ErrUncertain
	}
	return next, nil
}

// RollbackElectorate returns the membership under which votes on the rollback of a joint one are counted.
func RollbackElectorate(joint Membership) Membership {
	return Membership{Version: joint.Version, Current: joint.Current}
}

// errCompletionFound ends an attempt to roll back a joint membership that may be completed already.
var errCompletionFound = errors.New("a completion of the membership change may be in force")

// ProposeRollback returns the proposal that rolls back a joint membership, given the promises of a majority of its
// current members. It returns an error if the membership may be completed, or rolled back, already.
func (o Ownership) ProposeRollback(joint Membership) (Register, error) {
	found := decodeMembership(o.Current())
	switch {
	case found.equal(joint) || joint.IsRolledBackBy(found):
		value, err := json.Marshal(joint.RolledBack())
		return o.NextProposal(value), err
	case found.Version > joint.Version+1:
		return Register{}, ErrSuperseded
	default:
		return Register{}, errCompletionFound
	}
}

// decodeMembership decodes the membership in a register, and returns an empty one if the register has no value.
func decodeMembership(register Register) Membership {
	var membership Membership
	_ = json.Unmarshal(register.Value, &membership)
	return membership
}
