package keystore

import (
	"time"

	"github.com/pkg/errors"
)

// ChangeStats is what one Change of a key took. It tells proposers that preempt each other from members that reply slowly.
type ChangeStats struct {
	Key string
	// LockWait is the time until other calls of this process on the key were done; it is part of Duration.
	LockWait time.Duration
	Duration time.Duration
	// Prepares counts the attempts to own the key, Preempted those of them that a rival with a higher number ended.
	Prepares  int
	Preempted int
	// Commits counts the proposals that were put to the members, Uncertain those of them with an unknown outcome.
	Commits   int
	Uncertain int
}

// recordPrepare counts an attempt to own the key, with the error of its prepare round.
func (e *ChangeStats) recordPrepare(err error) {
	e.Prepares++
	if errors.Is(err, ErrContended) {
		e.Preempted++
	}
}

// recordCommit counts a proposal that was put to the members.
func (e *ChangeStats) recordCommit(agreed bool) {
	e.Commits++
	if !agreed {
		e.Uncertain++
	}
}

// beginEffort starts the count for a call that began at the given time and has just locked the key. The function that it
// returns ends the count and passes it on.
func (s *Store) beginEffort(key *keyState, began time.Time) func() {
	key.effort = ChangeStats{Key: key.name, LockWait: time.Since(began)}
	return func() {
		key.effort.Duration = time.Since(began)
		if s.OnChange != nil {
			s.OnChange(key.effort)
		}
	}
}
