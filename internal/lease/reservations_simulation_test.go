package lease_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
)

// reservationLog records the reservations under each fencing token in order. The first one is inherited from the previous
// grant. Those whose write has an uncertain outcome are not marked as certain.
type reservationLog struct {
	lock          sync.Mutex
	byFence       map[uint64][]reservationWrite
	lastLoads     int
	certainWrites int
}

type reservationWrite struct {
	loads   int
	certain bool
}

func (l *reservationLog) recordGrant(record lease.Record) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.byFence[record.Fence] = []reservationWrite{{record.Reserved.Loads, true}}
}

// reserve writes a reservation with a unique number of loads.
func (l *reservationLog) reserve(ctx context.Context, manager *lease.Manager, grant *lease.Grant) {
	l.lock.Lock()
	l.lastLoads++
	loads, fence := l.lastLoads, grant.Record.Fence
	position := len(l.byFence[fence])
	l.byFence[fence] = append(l.byFence[fence], reservationWrite{loads, false})
	l.lock.Unlock()
	if manager.Reserve(ctx, grant, loadbudget.Reservation{Loads: loads}) == nil {
		l.lock.Lock()
		l.byFence[fence][position].certain = true
		l.certainWrites++
		l.lock.Unlock()
	}
}

// check returns an error if a grant inherited neither the last certain reservation of the previous grant nor one that was
// written after it.
func (l *reservationLog) check() error {
	var possible []int
	for _, fence := range slices.Sorted(maps.Keys(l.byFence)) {
		writes := l.byFence[fence]
		if possible != nil && !slices.Contains(possible, writes[0].loads) {
			return fmt.Errorf("fence %d found %d, not one of %v", fence, writes[0].loads, possible)
		}
		possible = possible[:0]
		for _, write := range writes {
			if write.certain {
				possible = possible[:0]
			}
			possible = append(possible, write.loads)
		}
	}
	return nil
}

// reservingHolder acquires and renews the lease and writes reservations.
type reservingHolder struct {
	simulatedHolder
	log     *reservationLog
	store   *keystore.Store
	manager *lease.Manager
	grant   *lease.Grant
}

func (h *reservingHolder) step(store *keystore.Store) {
	if store == nil {
		return
	}
	if store != h.store {
		h.grant, h.store = nil, store
		h.manager = h.newManager(store)
		h.manager.Address = h.name
	}
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	switch {
	case h.grant == nil:
		if h.grant, _ = h.manager.Acquire(ctx); h.grant != nil {
			h.log.recordGrant(h.grant.Record)
		}
	case h.random.IntN(2) == 0:
		h.log.reserve(ctx, h.manager, h.grant)
	default:
		h.grant = h.manager.Renew(ctx, h.grant)
	}
}

func runReservationSchedule(seed uint64, cluster simulatedCluster) (*reservationLog, error) {
	log := &reservationLog{byFence: map[uint64][]reservationWrite{}}
	reserving := schedule{
		simulatedCluster: cluster,
		seed:             seed,
		duration:         30 * time.Second,
		maxFaultInterval: 3 * time.Second,
		maxFaultDuration: 3 * time.Second,
	}
	err := reserving.run(func(simulated simulatedHolder) {
		holder := &reservingHolder{simulatedHolder: simulated, log: log}
		holder.run(holder.step)
	})
	if err != nil {
		return log, err
	}
	return log, log.check()
}

func TestManager_GrantInheritsLatestReservationUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		schedules int
		cluster   simulatedCluster
	}{
		"three members":         {80, threeMembers},
		"five members in zones": {40, fiveMembersInZones},
	} {
		t.Run(name, func(t *testing.T) {
			certain, grants := 0, 0
			schedules := forEachSeed(t, test.schedules, func(t *testing.T, seed uint64) {
				log, err := runReservationSchedule(seed, test.cluster)
				assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
				certain += log.certainWrites
				grants += len(log.byFence)
			})
			t.Logf("%d grants, %d reservations certain in %d schedules", grants, certain, schedules)
			assert.Assert(t, certain > 20*schedules && grants > 2*schedules, "%d certain, %d grants", certain, grants)
		})
	}
}
