package lease_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/test/keystoresim"
)

// reservationLog is what was reserved under each granted fence, in order: the first is inherited, and
// those of uncertain outcome are marked.
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

// check says whether each grant found the last certain reservation before it, or one written since.
func (l *reservationLog) check() error {
	var before []int
	fences := []uint64{}
	for fence := range l.byFence {
		fences = append(fences, fence)
	}
	slices.Sort(fences)
	for _, fence := range fences {
		writes := l.byFence[fence]
		if before != nil && !slices.Contains(before, writes[0].loads) {
			return fmt.Errorf("fence %d found %d, not one of %v", fence, writes[0].loads, before)
		}
		before = before[:0]
		for _, action := range writes {
			if action.certain {
				before = before[:0]
			}
			before = append(before, action.loads)
		}
	}
	return nil
}

func runReservingHolder(fleet *keystoresim.Cluster, name string, random *rand.Rand, until time.Time, log *reservationLog) {
	var grant *lease.Grant
	var held *keystore.Store
	var manager *lease.Manager
	for time.Now().Before(until) {
		time.Sleep(80*time.Millisecond + time.Duration(random.Int64N(int64(80*time.Millisecond))))
		store := fleet.StoreOf(name)
		if store == nil {
			continue
		}
		if store != held {
			grant, held = nil, store
			manager = &lease.Manager{
				Key: keystore.LeasePrefix + "duty", Holder: name, Address: name, TTL: keystoresim.LeaseDuration,
				Store: store, Clock: fleet.Clock(name),
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
		switch {
		case grant == nil:
			if grant, _ = manager.Acquire(ctx); grant != nil {
				log.recordGrant(grant.Record)
			}
		case random.IntN(2) == 0:
			log.reserve(ctx, manager, grant)
		default:
			grant = manager.Renew(ctx, grant)
		}
		cancel()
	}
}

func runReservationSchedule(seed uint64, zones []int, faults []keystoresim.Fault) (*reservationLog, error) {
	size := 0
	for _, members := range zones {
		size += members
	}
	fleet := keystoresim.New(seed, size)
	fleet.AssignZones(zones...)
	random := rand.New(rand.NewPCG(seed, 11))
	for _, name := range fleet.Names {
		fleet.Start(name, true)
	}
	log := &reservationLog{byFence: map[uint64][]reservationWrite{}}
	until := time.Now().Add(30 * time.Second)
	var holders sync.WaitGroup
	for index, name := range fleet.Names {
		source := rand.New(rand.NewPCG(seed, uint64(50+index)))
		holders.Go(func() { runReservingHolder(fleet, name, source, until, log) })
	}
	voting := true
	for time.Now().Before(until) && voting {
		time.Sleep(time.Duration(random.Int64N(int64(3*time.Second))) + 200*time.Millisecond)
		name := fleet.Names[random.IntN(size)]
		faults[random.IntN(len(faults))](fleet, name, random, time.Duration(random.Int64N(int64(3*time.Second)))+50*time.Millisecond)
		voting = fleet.WaitUntilAllVote(time.Minute)
	}
	holders.Wait()
	for _, name := range fleet.Names {
		fleet.Kill(name)
	}
	time.Sleep(time.Minute)
	if !voting {
		return log, fmt.Errorf("a member never voted again")
	}
	return log, log.check()
}

func TestManager_GrantInheritsLatestReservationUnderFaults(t *testing.T) {
	fleets := map[string]struct {
		schedules int
		zones     []int
		troubles  []keystoresim.Fault
	}{
		"three members":         {80, threeZones, keystoresim.MachineFaults},
		"five members in zones": {40, fiveMembersInThreeZones, allFaults},
	}
	for name, fleet := range fleets {
		t.Run(name, func(t *testing.T) {
			certain, grants := 0, 0
			from, to := keystoresim.SeedRange(fleet.schedules)
			for seed := from; seed < to; seed++ {
				synctest.Test(t, func(t *testing.T) {
					log, err := runReservationSchedule(uint64(seed), fleet.zones, fleet.troubles)
					assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
					certain += log.certainWrites
					grants += len(log.byFence)
				})
			}
			t.Logf("%d grants, %d reservations certain in %d schedules", grants, certain, to-from)
			assert.Assert(t, certain > 20*(to-from) && grants > 2*(to-from), "%d certain, %d grants", certain, grants)
		})
	}
}

// memoryStore is a store of one key without troubles.
type memoryStore struct{ value json.RawMessage }

func (s *memoryStore) Acquire(_ context.Context, _ string, decide func(keystore.Register) json.RawMessage) (keystore.Register, error) {
	s.value = decide(keystore.Register{Value: s.value})
	return keystore.Register{Value: s.value}, nil
}

func (s *memoryStore) Update(_ context.Context, _ string, decide keystore.Decide) error {
	value, err := decide(keystore.Register{Value: s.value})
	if err == nil {
		s.value = value
	}
	return err
}

func (s *memoryStore) Renew(context.Context, string) error   { return nil }
func (s *memoryStore) Release(context.Context, string) error { return nil }

func TestManager_SuccessiveGrants(t *testing.T) {
	store, now := &memoryStore{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	daemon := func(name, address string) *lease.Manager {
		return &lease.Manager{
			Key: "k", Holder: name, Address: address, TTL: time.Second, TakeoverDelay: time.Minute,
			Store: store, Clock: func() time.Time { return now },
		}
	}
	first, other := daemon("a", "1"), daemon("b", "2")
	steps := []struct {
		name      string
		keeper    *lease.Manager
		continues uint64
		waits     time.Duration
		inherits  int
	}{
		{"the very first", first, 0, 0, 0},
		{"the same life", first, 1, 0, 1},
		{"the next life", daemon("a", "1"), 0, 0, 2},
		{"the life before, taken for dead", first, 0, 0, 3},
		{"another daemon", other, 0, time.Minute, 4},
		{"the first once more", first, 0, time.Minute, 5},
		{"the first again, which hasn't waited to the end", first, 6, time.Minute - time.Second, 6},
		{"its next life, which doesn't know since when", daemon("a", "1"), 0, time.Minute, 7},
		{"the same name at another address", daemon("a", "3"), 0, time.Minute, 8},
	}
	for number, action := range steps {
		grant, err := action.keeper.Acquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, grant.ContinuesFence, action.continues, action.name)
		assert.Equal(t, grant.EffectiveFrom.Sub(now), action.waits, action.name)
		assert.Equal(t, grant.Record.Reserved.Loads, action.inherits, action.name)
		assert.Equal(t, grant.Record.Fence, uint64(number+1))
		assert.NilError(t, action.keeper.Reserve(t.Context(), grant, loadbudget.Reservation{Loads: number + 1}))
		now = now.Add(time.Second)
	}
	past := &lease.Grant{Record: lease.Record{Holder: "a", Address: "1", Fence: 1}}
	assert.ErrorContains(t, first.Reserve(t.Context(), past, loadbudget.Reservation{Loads: 50}), "anew")
}
