package tenure_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/rehearsal"
	"ferryspar/internal/tenure"
)

type act struct {
	at     time.Time
	holder string
	fence  uint64
}

type deeds struct {
	lock sync.Mutex
	done []act
}

func (d *deeds) add(one act) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.done = append(d.done, one)
}

const lease = 3 * time.Second

func (d *deeds) check() error {
	owners := map[uint64]string{}
	for index, one := range d.done {
		if owner, taken := owners[one.fence]; taken && owner != one.holder {
			return fmt.Errorf("fence %d held by %s and %s", one.fence, owner, one.holder)
		}
		owners[one.fence] = one.holder
		if index == 0 {
			continue
		}
		before := d.done[index-1]
		if one.fence < before.fence {
			return fmt.Errorf("fence %d after %d", one.fence, before.fence)
		}
		if one.holder != before.holder && one.at.Sub(before.at) < lease {
			return fmt.Errorf("%s acted %s after %s", one.holder, one.at.Sub(before.at), before.holder)
		}
	}
	return nil
}

func keep(fleet *rehearsal.Fleet, name string, length, settle time.Duration, draw *rand.Rand, until time.Time, told *deeds) {
	var hold *tenure.Hold
	var held *keystore.Store
	for time.Now().Before(until) {
		time.Sleep(time.Duration(80+draw.IntN(80)) * time.Millisecond)
		store := fleet.StoreOf(name)
		if store == nil || store != held {
			hold, held = nil, store
		}
		if store == nil {
			continue
		}
		keeper := &tenure.Tenure{Key: keystore.TenurePrefix + "duty", Holder: name, Length: length, Settle: settle, Keeper: store, Clock: time.Now}
		if hold != nil {
			hold = keeper.Renew(context.Background(), hold)
		} else {
			ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
			hold, _ = keeper.Seize(ctx)
			cancel()
		}
		if hold.Allows(time.Now(), 0) && fleet.StoreOf(name) == store {
			told.add(act{time.Now(), name, hold.Record.Fence})
		}
	}
}

func play(seed uint64, lengthens time.Duration, settle time.Duration) (*deeds, error) {
	fleet := rehearsal.New(seed, 3)
	draw := rand.New(rand.NewPCG(seed, 11))
	for _, name := range fleet.Names {
		fleet.Start(name, true)
	}
	told := &deeds{}
	until := time.Now().Add(40 * time.Second)
	var keepers sync.WaitGroup
	for index, name := range fleet.Names {
		source := rand.New(rand.NewPCG(seed, uint64(50+index)))
		keepers.Go(func() { keep(fleet, name, rehearsal.TenureLength+lengthens, settle, source, until, told) })
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(draw.IntN(4000)+200) * time.Millisecond)
		name := fleet.Names[draw.IntN(3)]
		rehearsal.Troubles[draw.IntN(len(rehearsal.Troubles))](fleet, name, draw, time.Duration(draw.IntN(5000)+50)*time.Millisecond)
		if !fleet.WaitVoting(time.Minute) {
			return told, fmt.Errorf("a member never voted again")
		}
	}
	keepers.Wait()
	for _, name := range fleet.Names {
		fleet.Kill(name)
	}
	time.Sleep(time.Minute)
	return told, told.check()
}

func TestGivenTroublesOfEveryKindThenNoTwoHoldersActWithinALease(t *testing.T) {
	acted, turns := 0, 0
	from, to := rehearsal.Schedules(300)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			told, err := play(uint64(seed), 0, lease)
			assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
			acted += len(told.done)
			for index := 1; index < len(told.done); index++ {
				if told.done[index].holder != told.done[index-1].holder {
					turns++
				}
			}
		})
	}
	assert.Assert(t, acted > 100*(to-from)/2 && turns > (to-from)/4, "the duty is done (%d) and changes hands (%d)", acted, turns)
}

func TestGivenAHolderThatOverstaysThenTheChecksCatchIt(t *testing.T) {
	caught := 0
	for seed := 1; seed < 120 && caught == 0; seed++ {
		synctest.Test(t, func(t *testing.T) {
			if _, err := play(uint64(seed), 4*time.Second, 0); err != nil {
				caught = seed
			}
		})
	}
	assert.Assert(t, caught > 0, "no schedule shows two holders")
}
