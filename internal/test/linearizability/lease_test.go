package linearizability_test

import (
	"fmt"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/test/keystoresim"
)

// The interval and the durations of holdLease.
const (
	leaseInterval  = 170 * time.Millisecond
	acquireTimeout = 1200 * time.Millisecond
	takeoverDelay  = 3 * time.Second
)

// leaseAct is one action under the lease for which all machines compete.
type leaseAct struct {
	at     time.Duration
	holder string
	fence  uint64
}

// checkLeaseActs returns an error if two holders shared a fencing token, a token decreased, or a new holder acted before the
// takeover delay had passed.
func checkLeaseActs(acts []leaseAct) error {
	holders := map[uint64]string{}
	for index, act := range acts {
		if holder, known := holders[act.fence]; known && holder != act.holder {
			return fmt.Errorf("fence %d held by %s and %s", act.fence, holder, act.holder)
		}
		holders[act.fence] = act.holder
		if index == 0 {
			continue
		}
		before := acts[index-1]
		if act.fence < before.fence {
			return fmt.Errorf("%s acted under fence %d after %d", act.holder, act.fence, before.fence)
		}
		if act.holder != before.holder && act.at-before.at < takeoverDelay {
			return fmt.Errorf("%s acted %s after %s", act.holder, act.at-before.at, before.holder)
		}
	}
	return nil
}

// holdLease acquires and renews one lease while the machine votes, and acts under it.
func (s *simulation) holdLease(name string, position int) {
	var grant *lease.Grant
	var currentStore *keystore.Store
	for !s.isStopped() {
		time.Sleep(leaseInterval + time.Duration(position*1303))
		s.waitWhileFrozen(name)
		store, acceptor := s.cluster.StoreOf(name), s.cluster.AcceptorOf(name)
		if store != currentStore {
			grant, currentStore = nil, store
		}
		if store == nil || acceptor == nil || !acceptor.LocalState().Voting {
			continue
		}
		manager := &lease.Manager{
			Key:           keystore.LeasePrefix + "placement",
			Holder:        name,
			TTL:           keystoresim.LeaseDuration,
			TakeoverDelay: takeoverDelay,
			Store:         store,
			Clock:         s.cluster.Clock(name),
		}
		ctx, cancel := withTimeout(acquireTimeout)
		if grant != nil {
			grant = manager.Renew(ctx, grant)
		} else {
			grant, _ = manager.Acquire(ctx)
		}
		cancel()
		if !s.cluster.IsFrozen(name) && s.cluster.StoreOf(name) == store && grant.Allows(s.cluster.Clock(name)(), 0) {
			s.recordAct(leaseAct{at: s.now(), holder: name, fence: grant.Record.Fence})
		}
	}
}

func (s *simulation) recordAct(done leaseAct) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.acts = append(s.acts, done)
}
