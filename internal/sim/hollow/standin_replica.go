package hollow

import (
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

// standIn is a stand-in for a replica. Its lock protects the mutable fields except active.
type standIn struct {
	lock      sync.Mutex
	listed    discovery.Replica
	loaded    standin.ModelSet
	busyUntil time.Time
	sequence  int64
	// highestFence is the highest fence seen. Instructions with a lower fence are rejected.
	highestFence uint64
	// incarnation is the number of restarts.
	incarnation int
	lostAt      time.Time
	active      atomic.Int64
}

// listedAfterLoss is how long the platform list still contains a replica that has ended.
const listedAfterLoss = 2 * time.Second

// listEntry returns the entry of the replica in the platform list, and whether it is listed.
func (s *standIn) listEntry() (discovery.Replica, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	listed := s.listed
	listed.Models = s.loaded.List()
	return listed, s.lostAt.IsZero() || time.Since(s.lostAt) < listedAfterLoss
}

// identity returns the id of the replica and whether it is running.
func (s *standIn) identity() (string, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.listed.ID, s.lostAt.IsZero()
}

// applyInstruction executes an instruction. The caller must hold s.lock.
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

// hasLoaded reports whether a model or adapter is loaded.
func (s *standIn) hasLoaded(reference string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.loaded[reference]
}
