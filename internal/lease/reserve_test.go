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
	"ferryspar/internal/membersim"
)

// reservations is what was reserved under each granted fence, in order: the first is inherited, and
// those of uncertain outcome are marked.
type reservations struct {
	lock    sync.Mutex
	granted map[uint64][]reserved
	next    int
	certain int
}

type reserved struct {
	loads   int
	certain bool
}

func (r *reservations) grant(record lease.Record) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.granted[record.Fence] = []reserved{{record.Reserved.Loads, true}}
}

func (r *reservations) write(ctx context.Context, keeper *lease.Lease, hold *lease.Grant) {
	r.lock.Lock()
	r.next++
	loads, fence := r.next, hold.Record.Fence
	position := len(r.granted[fence])
	r.granted[fence] = append(r.granted[fence], reserved{loads, false})
	r.lock.Unlock()
	if keeper.Reserve(ctx, hold, loadbudget.Reservation{Loads: loads}) == nil {
		r.lock.Lock()
		r.granted[fence][position].certain = true
		r.certain++
		r.lock.Unlock()
	}
}

// check says whether each grant found the last certain reservation before it, or one written since.
func (r *reservations) check() error {
	var before []int
	fences := []uint64{}
	for fence := range r.granted {
		fences = append(fences, fence)
	}
	slices.Sort(fences)
	for _, fence := range fences {
		writes := r.granted[fence]
		if before != nil && !slices.Contains(before, writes[0].loads) {
			return fmt.Errorf("fence %d found %d, not one of %v", fence, writes[0].loads, before)
		}
		before = before[:0]
		for _, one := range writes {
			if one.certain {
				before = before[:0]
			}
			before = append(before, one.loads)
		}
	}
	return nil
}

func reserveUntil(fleet *membersim.Fleet, name string, draw *rand.Rand, until time.Time, told *reservations) {
	var hold *lease.Grant
	var held *keystore.Store
	var keeper *lease.Lease
	for time.Now().Before(until) {
		time.Sleep(80*time.Millisecond + time.Duration(draw.Int64N(int64(80*time.Millisecond))))
		store := fleet.StoreOf(name)
		if store == nil {
			continue
		}
		if store != held {
			hold, held = nil, store
			keeper = &lease.Lease{
				Key: keystore.LeasePrefix + "duty", Holder: name, Address: name, Length: membersim.LeaseLength,
				Store: store, Clock: fleet.Clock(name),
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
		switch {
		case hold == nil:
			if hold, _ = keeper.Acquire(ctx); hold != nil {
				told.grant(hold.Record)
			}
		case draw.IntN(2) == 0:
			told.write(ctx, keeper, hold)
		default:
			hold = keeper.Renew(ctx, hold)
		}
		cancel()
	}
}

func playReservations(seed uint64, zones []int, troubles []membersim.Trouble) (*reservations, error) {
	size := 0
	for _, members := range zones {
		size += members
	}
	fleet := membersim.New(seed, size)
	fleet.Spread(zones...)
	draw := rand.New(rand.NewPCG(seed, 11))
	for _, name := range fleet.Names {
		fleet.Start(name, true)
	}
	told := &reservations{granted: map[uint64][]reserved{}}
	until := time.Now().Add(30 * time.Second)
	var keepers sync.WaitGroup
	for index, name := range fleet.Names {
		source := rand.New(rand.NewPCG(seed, uint64(50+index)))
		keepers.Go(func() { reserveUntil(fleet, name, source, until, told) })
	}
	voting := true
	for time.Now().Before(until) && voting {
		time.Sleep(time.Duration(draw.Int64N(int64(3*time.Second))) + 200*time.Millisecond)
		name := fleet.Names[draw.IntN(size)]
		troubles[draw.IntN(len(troubles))](fleet, name, draw, time.Duration(draw.Int64N(int64(3*time.Second)))+50*time.Millisecond)
		voting = fleet.WaitVoting(time.Minute)
	}
	keepers.Wait()
	for _, name := range fleet.Names {
		fleet.Kill(name)
	}
	time.Sleep(time.Minute)
	if !voting {
		return told, fmt.Errorf("a member never voted again")
	}
	return told, told.check()
}

func TestGivenTroublesThenEachGrantFindsTheLastReservationThatWasCertainOrALaterOne(t *testing.T) {
	fleets := map[string]struct {
		schedules int
		zones     []int
		troubles  []membersim.Trouble
	}{
		"three members":         {80, single, membersim.Troubles},
		"five members in zones": {40, spread, wider},
	}
	for name, fleet := range fleets {
		t.Run(name, func(t *testing.T) {
			certain, grants := 0, 0
			from, to := membersim.Schedules(fleet.schedules)
			for seed := from; seed < to; seed++ {
				synctest.Test(t, func(t *testing.T) {
					told, err := playReservations(uint64(seed), fleet.zones, fleet.troubles)
					assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
					certain += told.certain
					grants += len(told.granted)
				})
			}
			t.Logf("%d grants, %d reservations certain in %d schedules", grants, certain, to-from)
			assert.Assert(t, certain > 20*(to-from) && grants > 2*(to-from), "%d certain, %d grants", certain, grants)
		})
	}
}

// register is a store of one key without troubles.
type register struct{ value json.RawMessage }

func (r *register) Seize(_ context.Context, _ string, decide func(keystore.Slot) json.RawMessage) (keystore.Slot, error) {
	r.value = decide(keystore.Slot{Value: r.value})
	return keystore.Slot{Value: r.value}, nil
}

func (r *register) Rewrite(_ context.Context, _ string, decide keystore.Decide) error {
	value, err := decide(keystore.Slot{Value: r.value})
	if err == nil {
		r.value = value
	}
	return err
}

func (r *register) Renew(context.Context, string) error   { return nil }
func (r *register) Release(context.Context, string) error { return nil }

func TestGivenGrantsOneAfterAnotherThenOnlyTheSameLifeContinuesAndOnlyTheSameAddressNeedNotWait(t *testing.T) {
	store, now := &register{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	daemon := func(name, address string) *lease.Lease {
		return &lease.Lease{
			Key: "k", Holder: name, Address: address, Length: time.Second, Settle: time.Minute,
			Store: store, Clock: func() time.Time { return now },
		}
	}
	first, other := daemon("a", "1"), daemon("b", "2")
	steps := []struct {
		name      string
		keeper    *lease.Lease
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
	for number, one := range steps {
		grant, err := one.keeper.Acquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, grant.Continues, one.continues, one.name)
		assert.Equal(t, grant.ActsFrom.Sub(now), one.waits, one.name)
		assert.Equal(t, grant.Record.Reserved.Loads, one.inherits, one.name)
		assert.Equal(t, grant.Record.Fence, uint64(number+1))
		assert.NilError(t, one.keeper.Reserve(t.Context(), grant, loadbudget.Reservation{Loads: number + 1}))
		now = now.Add(time.Second)
	}
	past := &lease.Grant{Record: lease.Record{Holder: "a", Address: "1", Fence: 1}}
	assert.ErrorContains(t, first.Reserve(t.Context(), past, loadbudget.Reservation{Loads: 50}), "anew")
}
