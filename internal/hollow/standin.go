package hollow

import (
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/emulator/standin"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
)

type standIn struct {
	lock      sync.Mutex
	listed    platform.Replica
	held      standin.Holdings
	busyUntil time.Time
	sequence  int64
	highest   uint64
	life      int
	lostAt    time.Time
	active    atomic.Int64
}

const staysListed = 2 * time.Second

func (s *standIn) entry() (platform.Replica, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	listed := s.listed
	listed.Models = s.held.List()
	return listed, s.lostAt.IsZero() || time.Since(s.lostAt) < staysListed
}

func (s *standIn) identity() (string, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.listed.ID, s.lostAt.IsZero()
}

func (s *standIn) change(told replica.Instruction) {
	reference := told.Model
	if told.Adapter != "" {
		reference += "/" + told.Adapter
	}
	if told.Operation == replica.OperationLoad {
		s.held[reference] = true
		return
	}
	s.held.Drop(reference)
}

func (s *standIn) stands(reference string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.held[reference]
}
