package keystore

import (
	"time"

	"github.com/pkg/errors"
)

// ChangeStats are the statistics of one Change or ReadModifyWrite of a key. They distinguish contention between
// proposers from members that reply slowly.
type ChangeStats struct {
	Key string
	// LockWait is the time spent waiting for other calls of this process on the key. It is part of Duration.
	LockWait time.Duration
	Duration time.Duration
	// Prepares counts the attempts to own the key, and Preempted those that failed because the key has, or may have, another
	// owner.
	Prepares  int
	Preempted int
	// Commits counts the proposals sent to the members, and Uncertain those with an unknown outcome.
	Commits   int
	Uncertain int
}

// recordPrepare counts an attempt to own the key, given the error of its prepare round.
func (c *ChangeStats) recordPrepare(err error) {
	c.Prepares++
	if errors.Is(err, ErrContended) {
		c.Preempted++
	}
}

// recordCommit counts a proposal sent to the members.
func (c *ChangeStats) recordCommit(agreed bool) {
	c.Commits++
	if !agreed {
		c.Uncertain++
	}
}

// collectStats starts the statistics of a call that began at the given time and has just locked the key. The returned
// function completes them and passes them to OnChange.
func (s *Store) collectStats(key *keyState, began time.Time) func() {
	key.stats = ChangeStats{Key: key.name, LockWait: time.Since(began)}
	return func() {
		key.stats.Duration = time.Since(began)
		if s.OnChange != nil {
			s.OnChange(key.stats)
		}
	}
}
