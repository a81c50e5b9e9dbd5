package hollow

import (
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

// standIn is a replica that the fleet's nodes see; its lock guards it.
type standIn struct {
	lock      sync.Mutex
	listed    discovery.Replica
	loaded    standin.ModelSet
	busyUntil time.Time
	sequence  int64
	// highestFence is the highest fence seen; lower ones are rejected.
	highestFence uint64
	// incarnation counts the restarts.
	incarnation int
	lostAt      time.Time
	active      atomic.Int64
}

// staysListed is how long the list tells of a replica that has ended.
const staysListed = 2 * time.Second

// entry is the replica as the list tells it, and whether it does.
func (s *standIn) entry() (discovery.Replica, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	listed := s.listed
	listed.Models = s.loaded.List()
	return listed, s.lostAt.IsZero() || time.Since(s.lostAt) < staysListed
}

// identity is the replica's id and whether it runs.
func (s *standIn) identity() (string, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.listed.ID, s.lostAt.IsZero()
}

// applyInstruction carries an instruction out. The caller holds the lock.
func (s *standIn) applyInstruction(instruction replica.Order) {
	reference := instruction.Model
	if instruction.Adapter != "" {
		reference += "/" + instruction.Adapter
	}
	if instruction.Operation == replica.OperationLoad {
		s.loaded[reference] = true
		return
	}
	s.loaded.Remove(reference)
}

// holds reports whether the reference is loaded.
func (s *standIn) hasLoaded(reference string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.loaded[reference]
}
