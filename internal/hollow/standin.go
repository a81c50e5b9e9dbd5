package hollow

import (
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
)

type standIn struct {
	lock      sync.Mutex
	listed    platform.Replica
	held      []string
	adapters  map[string][]string
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
	listed.Models = s.models()
	return listed, s.lostAt.IsZero() || time.Since(s.lostAt) < staysListed
}

func (s *standIn) identity() (string, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.listed.ID, s.lostAt.IsZero()
}

func (s *standIn) models() []platform.Held {
	list := make([]platform.Held, 0, len(s.held))
	for _, name := range s.held {
		list = append(list, platform.Held{Name: name, Revision: 1, Adapters: append([]string{}, s.adapters[name]...)})
	}
	return list
}

func without(list []string, name string) []string {
	var kept []string
	for _, one := range list {
		if one != name {
			kept = append(kept, one)
		}
	}
	return kept
}

func (s *standIn) change(told replica.Instruction) {
	load := told.Operation == replica.OperationLoad
	if told.Adapter != "" {
		s.adapters[told.Model] = without(s.adapters[told.Model], told.Adapter)
		if load {
			s.adapters[told.Model] = append(s.adapters[told.Model], told.Adapter)
		}
		return
	}
	s.held = without(s.held, told.Model)
	if load {
		s.held = append(s.held, told.Model)
		return
	}
	delete(s.adapters, told.Model)
}

func (s *standIn) stands(reference string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	listed := s.listed
	listed.Models = s.models()
	model, adapter := split(reference)
	return listed.Holds(model, adapter)
}
