package integration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/coordinationclient"
	"ferryspar/internal/sim/applications"
)

func (f *fleet) coordinationClient() *coordinationclient.Client {
	client := &coordinationclient.Client{HTTP: f.client}
	for core := 1; core <= f.cores; core++ {
		client.Addresses = append(client.Addresses, coreHost(core)+":8166")
	}
	return client
}

// injectCoreFaults kills, freezes and partitions one control plane after the other.
func (f *fleet) injectCoreFaults() {
	for core := 1; core <= 3; core++ {
		f.kill(coreHost(core))
		time.Sleep(2 * time.Second)
		f.startCore(coreHost(core), false, 1, 2, 3)
		time.Sleep(4 * time.Second)
		f.network.freeze(coreHost(core), true)
		time.Sleep(3 * time.Second)
		f.network.freeze(coreHost(core), false)
		time.Sleep(3 * time.Second)
		f.network.partition(coreHost(core), coreHost(1+core%3), true)
		time.Sleep(3 * time.Second)
		f.network.partition(coreHost(core), coreHost(1+core%3), false)
		time.Sleep(2 * time.Second)
	}
}

// leaderships records the leaderships that candidates have won.
type leaderships struct {
	active, total atomic.Int64
	lock          sync.Mutex
	fences        []uint64
}

// lead leads for five seconds or until its context ends; it fails if there is another leader.
func (l *leaderships) lead(ctx context.Context, fence uint64) error {
	if l.active.Add(1) > 1 {
		return errors.New("two leaders")
	}
	defer l.active.Add(-1)
	l.total.Add(1)
	l.lock.Lock()
	l.fences = append(l.fences, fence)
	l.lock.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
	}
	return nil
}

func TestCoordinationClient_OneLeaderWhileControlPlanesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := &leaderships{}
		var candidates sync.WaitGroup
		for number := range 3 {
			candidates.Go(func() {
				client := f.coordinationClient()
				for ctx.Err() == nil {
					err := client.Campaign(ctx, "leader", fmt.Sprint("candidate-", number), 2*time.Second, seen.lead)
					assert.Check(t, err == nil || ctx.Err() != nil, "%v", err)
				}
			})
		}
		f.injectCoreFaults()
		cancel()
		candidates.Wait()
		assert.Assert(t, seen.total.Load() > 5, "%d leaderships", seen.total.Load())
		for position := 1; position < len(seen.fences); position++ {
			assert.Assert(t, seen.fences[position] > seen.fences[position-1], "%v", seen.fences)
		}
	})
}

func TestCoordinationClient_WatchSeesEachPutOnceWhileControlPlanesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		writer := f.coordinationClient()
		first, err := writer.Put(t.Context(), "g.first", "one", 0)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var watching, writing sync.WaitGroup
		seen := make([][]coordinationclient.Event, 3)
		for number := range seen {
			watching.Go(func() {
				_, err := f.coordinationClient().Watch(ctx, "g.", first, func(event coordinationclient.Event) error {
					seen[number] = append(seen[number], event)
					return nil
				})
				assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
			})
		}
		until := time.Now().Add(50 * time.Second)
		var written []coordinationclient.Event
		writing.Go(func() { written = writeSteadily(t, writer, until) })
		f.injectCoreFaults()
		writing.Wait()
		time.Sleep(2 * time.Second)
		cancel()
		watching.Wait()
		assert.Assert(t, len(written) > 100, "%d puts", len(written))
		for _, events := range seen {
			assert.DeepEqual(t, events, written)
		}
		_, err = writer.Put(t.Context(), "g.first", "two", first+1)
		assert.ErrorIs(t, err, coordinationclient.ConflictError{Revision: first})
		_, _, err = writer.Get(t.Context(), "g.none")
		assert.ErrorIs(t, err, coordinationclient.ErrKeyNotFound)
	})
}

// writeSteadily repeatedly puts one key with its last revision as the condition, and draws numbers.
func writeSteadily(t *testing.T, client *coordinationclient.Client, until time.Time) (written []coordinationclient.Event) {
	revision, number := uint64(0), uint64(0)
	for turn := 0; time.Now().Before(until); turn++ {
		value := fmt.Sprint("v", turn)
		next, err := client.Put(t.Context(), "g.k", value, revision)
		assert.Check(t, err)
		assert.Check(t, next > revision)
		revision = next
		written = append(written, coordinationclient.Event{Key: "g.k", Value: value, Revision: revision})
		drawn, err := client.Next(t.Context(), "n")
		assert.Check(t, err)
		assert.Check(t, drawn > number)
		number = drawn
		time.Sleep(100 * time.Millisecond)
	}
	return written
}

func TestCoordinationClient_LockTimeCountsFromBeforeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		client := f.coordinationClient()
		began := time.Now()
		hold, err := client.Acquire(t.Context(), "l", "a", 2*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, !hold.ExpiresAt().After(time.Now().Add(2*time.Second)) && !hold.ExpiresAt().Before(began.Add(2*time.Second)))
		_, err = client.Acquire(t.Context(), "l", "b", time.Second)
		assert.ErrorIs(t, err, coordinationclient.ErrLockHeld)
		time.Sleep(time.Second)
		assert.NilError(t, hold.Renew(t.Context()))
		assert.Assert(t, hold.ExpiresAt().After(began.Add(2500*time.Millisecond)))
		for core := 1; core <= 3; core++ {
			f.network.freeze(coreHost(core), true)
		}
		began = time.Now()
		assert.ErrorIs(t, hold.Renew(t.Context()), coordinationclient.ErrLockLost)
		assert.Assert(t, time.Since(began) <= 2*time.Second, "the lock expires in time, with or without an answer")
		assert.Assert(t, hold.ExpiresAt().IsZero())
		for core := 1; core <= 3; core++ {
			f.network.freeze(coreHost(core), false)
		}
		time.Sleep(10 * time.Second)
		assert.ErrorIs(t, hold.Renew(t.Context()), coordinationclient.ErrLockLost)
		other, err := client.Acquire(t.Context(), "l", "b", time.Second)
		assert.NilError(t, err)
		assert.Assert(t, other.Fence() > hold.Fence())
		assert.NilError(t, other.Release(t.Context()))
	})
}

func TestApplications_FindNoFaultWhileControlPlanesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		options := applications.Options{
			Callers:      6,
			CallsPerS:    60,
			Duration:     50 * time.Second,
			Locks:        4,
			Counters:     2,
			Keys:         10,
			Watches:      3,
			LockDuration: 1500 * time.Millisecond,
			NamePrefix:   "played",
			Seed:         7,
		}
		for core := 1; core <= 3; core++ {
			options.Addresses = append(options.Addresses, coreHost(core)+":8166")
		}
		var played sync.WaitGroup
		var report applications.Report
		played.Go(func() {
			var err error
			report, err = applications.Run(t.Context(), options, f.client.Transport)
			assert.Check(t, err)
		})
		f.injectCoreFaults()
		played.Wait()
		assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
		assert.Equal(t, len(report.Operations), 6)
		assert.Assert(t, report.CallsPerS > 30, "%f", report.CallsPerS)
	})
}
