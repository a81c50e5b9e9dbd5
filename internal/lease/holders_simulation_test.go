package lease_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/test/keystoresim"
)

const (
	takeoverDelay      = 3 * time.Second
	frozenPollInterval = 3 * time.Millisecond
)

// action records that a holder acted under the lease.
type action struct {
	at     time.Time
	holder string
	fence  uint64
}

// actionLog records the actions of all holders in order.
type actionLog struct {
	lock    sync.Mutex
	actions []action
}

func (l *actionLog) add(action action) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.actions = append(l.actions, action)
}

// check returns an error if two holders had the same fencing token, if a token decreased, or if a holder acted less than the
// takeover delay after another one.
func (l *actionLog) check() error {
	holders := map[uint64]string{}
	for index, action := range l.actions {
		if holder, known := holders[action.fence]; known && holder != action.holder {
			return fmt.Errorf("fence %d held by %s and %s", action.fence, holder, action.holder)
		}
		holders[action.fence] = action.holder
		if index == 0 {
			continue
		}
		before := l.actions[index-1]
		if action.fence < before.fence {
			return fmt.Errorf("fence %d after %d", action.fence, before.fence)
		}
		if action.holder != before.holder && action.at.Sub(before.at) < takeoverDelay {
			return fmt.Errorf("%s acted %s after %s", action.holder, action.at.Sub(before.at), before.holder)
		}
	}
	return nil
}

// handovers returns how often the holder changed.
func (l *actionLog) handovers() int {
	handovers := 0
	for index := 1; index < len(l.actions); index++ {
		if l.actions[index].holder != l.actions[index-1].holder {
			handovers++
		}
	}
	return handovers
}

// actingSchedule is a schedule whose holders act whenever their grant allows it. To inject a defect, ttlOverrun extends the
// holders' TTL beyond that of the members, and takeoverDelay is set to zero.
type actingSchedule struct {
	schedule
	ttlOverrun    time.Duration
	takeoverDelay time.Duration
	// margin is how long before the expiry of its grant a holder stops acting.
	margin time.Duration
}

func newActingSchedule(cluster simulatedCluster) actingSchedule {
	return actingSchedule{
		schedule: schedule{
			simulatedCluster: cluster,
			duration:         40 * time.Second,
			maxFaultInterval: 4 * time.Second,
			maxFaultDuration: 5 * time.Second,
		},
		takeoverDelay: takeoverDelay,
	}
}

func (s actingSchedule) run(seed uint64) (*actionLog, error) {
	s.seed = seed
	log := &actionLog{}
	err := s.schedule.run(func(holder simulatedHolder) {
		acting := &actingHolder{
			simulatedHolder: holder,
			ttl:             keystoresim.LeaseDuration + s.ttlOverrun,
			takeoverDelay:   s.takeoverDelay,
			margin:          s.margin,
			log:             log,
		}
		acting.run(acting.step)
	})
	if err != nil {
		return log, err
	}
	return log, log.check()
}

// actingHolder acquires and renews the lease, and records an action whenever the grant allows one.
type actingHolder struct {
	simulatedHolder
	ttl           time.Duration
	takeoverDelay time.Duration
	margin        time.Duration
	log           *actionLog
	store         *keystore.Store
	grant         *lease.Grant
}

func (h *actingHolder) step(store *keystore.Store) {
	for h.cluster.IsFrozen(h.name) {
		time.Sleep(frozenPollInterval)
	}
	if store == nil || store != h.store {
		h.grant, h.store = nil, store
	}
	if store == nil {
		return
	}
	h.acquireOrRenew()
	if !h.cluster.IsFrozen(h.name) && h.grant.Allows(h.cluster.Clock(h.name)(), h.margin) && h.cluster.StoreOf(h.name) == store {
		h.log.add(action{time.Now(), h.name, h.grant.Record.Fence})
	}
}

func (h *actingHolder) acquireOrRenew() {
	manager := h.newManager(h.store)
	manager.TTL = h.ttl
	manager.TakeoverDelay = h.takeoverDelay
	if h.grant != nil {
		h.grant = manager.Renew(context.Background(), h.grant)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	h.grant, _ = manager.Acquire(ctx)
}

func TestManager_OneActiveHolderUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		schedules int
		cluster   simulatedCluster
	}{
		"three members":         {300, threeMembers},
		"five members in zones": {120, fiveMembersInZones},
	} {
		t.Run(name, func(t *testing.T) {
			actions, handovers := 0, 0
			schedules := forEachSeed(t, test.schedules, func(t *testing.T, seed uint64) {
				log, err := newActingSchedule(test.cluster).run(seed)
				assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
				actions += len(log.actions)
				handovers += log.handovers()
			})
			t.Logf("%d actions, %d handovers in %d schedules", actions, handovers, schedules)
			assert.Assert(t, actions > 100*schedules/2, "holders rarely act: %d actions", actions)
			assert.Assert(t, handovers > schedules/4, "the holder rarely changes: %d handovers", handovers)
		})
	}
}

// Two clocks that each drift by up to one part in 500 differ by up to 6 ms over a lease of 1.5 s. The holder of the placement
// lease has a larger margin: it stops acting 0.8 s before the expiry.
func TestManager_OneActiveHolderUnderClockDrift(t *testing.T) {
	const drift, margin = 1.0 / 500, 20 * time.Millisecond
	forEachSeed(t, 150, func(t *testing.T, seed uint64) {
		drifting := newActingSchedule(threeMembers)
		drifting.clockDrift, drifting.margin = drift, margin
		_, err := drifting.run(seed)
		assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
	})
}

func TestSimulation_CatchesBrokenHolders(t *testing.T) {
	const attempts = 120
	overrunsTTL := newActingSchedule(threeMembers)
	overrunsTTL.ttlOverrun = 4 * time.Second
	overrunsTTL.takeoverDelay = 0

	usesWallClock := newActingSchedule(fiveMembersInZones)
	usesWallClock.wallClocks = true
	usesWallClock.faults = slices.Concat(usesWallClock.faults, []keystoresim.Fault{keystoresim.StepWallClock, keystoresim.StepWallClock})

	drifts := newActingSchedule(threeMembers)
	drifts.clockDrift = 0.3

	for name, test := range map[string]struct {
		schedule  actingSchedule
		firstSeed uint64
	}{
		"excessive clock drift": {drifts, 1},
		"overruns the TTL":      {overrunsTTL, 1},
		"uses the wall clock":   {usesWallClock, 700},
	} {
		t.Run(name, func(t *testing.T) {
			caught := false
			for seed := test.firstSeed; seed < test.firstSeed+attempts && !caught; seed++ {
				synctest.Test(t, func(t *testing.T) {
					if _, err := test.schedule.run(seed); err != nil {
						t.Log(err)
						caught = true
					}
				})
			}
			assert.Assert(t, caught, "no schedule detects the defect")
		})
	}
}

func TestSimulation_ReplaysExactlyFromSeed(t *testing.T) {
	from, to := keystoresim.SeedRange(20)
	for seed := from; seed < to; seed++ {
		var played [2][]action
		for turn := range played {
			synctest.Test(t, func(t *testing.T) {
				log, err := newActingSchedule(fiveMembersInZones).run(uint64(seed))
				assert.NilError(t, err)
				played[turn] = log.actions
			})
		}
		assert.Assert(t, slices.Equal(played[0], played[1]), "two runs with FERRYSPAR_SEED=%d differ", seed)
	}
}
