package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/retention"
)

const platformHost = "10.200.0.1"

// holderHost is the host of the daemon that holds the placement lease, as another one tells.
func (o *operators) holderHost(asked string) string {
	return hostOf(o.status(asked).PlacementHolder)
}

// stateListed is what a control daemon says of a replica's state; empty if it lists none of that id.
func (o *operators) stateListed(host, id string) string {
	for _, listed := range o.status(host).Replicas {
		if listed.ID == id {
			return listed.State
		}
	}
	return ""
}

func TestRoster_StaleListOfLeaseHolderNeverReplacesNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, standIn, two)
		o := newOperators(f, 1, 1, 2, 3)
		holder := o.holderHost(coreHost(1))
		f.network.delayBoth(holder, platformHost, true)
		time.Sleep(500 * time.Millisecond)
		two.drain(true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, o.stateListed(holder, "i-2"), "draining", "the holder is told by those that it tells")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				if host := coreHost(number); host != holder {
					assert.Equal(t, o.stateListed(host, "i-2"), "draining", "%s, cut off: %s", host, holder)
				}
			}
		}
	})
}

func TestRoster_SlowReadDoesNotEndWarmUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		o := newOperators(f, 1, 1, 2, 3)
		f.lock.Lock()
		f.listDuration = 800 * time.Millisecond
		f.lock.Unlock()
		coldUntil := time.Now().Add(12 * time.Second)
		standIn.setWarmingUntil(coldUntil)
		time.Sleep(4 * time.Second)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				status := o.status(coreHost(number))
				left := time.Duration(status.Replicas[0].WarmUpRemainingMs-float64(status.ListAgeMs)) * time.Millisecond
				assert.Assert(
					t,
					!time.Now().Add(left).Before(coldUntil.Add(-time.Millisecond)),
					"%s early at %d",
					coldUntil.Sub(time.Now().Add(left)),
					number,
				)
			}
		}
	})
}

// hide leaves a replica out of the platform's list, as pages do that are read while the list changes.
func (f *fleet) hide(standIn *standInReplica, hidden bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.replicas = slices.DeleteFunc(f.replicas, func(listed *standInReplica) bool { return listed == standIn })
	if !hidden {
		f.replicas = append(f.replicas, standIn)
	}
}

func TestRoster_BrieflyUnlistedReplicaStillForgetsContext(t *testing.T) {
	for name, moment := range map[string]time.Duration{"before it is counted": -600 * time.Millisecond, "after": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				two := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
				f := startSettledFleet(t, 1, standIn, two)
				time.Sleep(3 * time.Second)
				if moment < 0 {
					f.hide(two, true)
					time.Sleep(-moment)
				}
				_, status := f.forget(1, `{"model":"swift"}`)
				assert.Equal(t, status, http.StatusOK)
				if moment > 0 {
					time.Sleep(moment)
					f.hide(two, true)
				}
				time.Sleep(700 * time.Millisecond)
				f.hide(two, false)
				time.Sleep(20 * time.Second)
				done := f.forgets(1)[0]
				assert.Assert(t, done.Complete, "%v", done)
				assert.Equal(t, states(done, "replica")["i-2swift"], retention.Done)
				assert.Assert(
					t,
					standIn.unloads("swift") >= 1 && two.unloads("swift") >= 1,
					"%d and %d",
					standIn.unloads("swift"),
					two.unloads("swift"),
				)
			})
		})
	}
}

// pageOf is a page of the list. As on the platform, tokens are offsets in the list of the moment.
func (f *fleet) pageOf(replicas []*standInReplica, token string) discovery.Page {
	f.lock.Lock()
	size, paged := f.pageSize, f.paged
	f.lock.Unlock()
	page, from := discovery.Page{Instances: []discovery.Replica{}}, 0
	_, _ = fmt.Sscanf(token, "p-%d", &from)
	end := len(replicas)
	if size > 0 && from+size < end {
		end = from + size
		next := fmt.Sprintf("p-%d", end)
		page.NextToken = &next
	}
	for _, standIn := range replicas[min(from, end):end] {
		page.Instances = append(page.Instances, standIn.entry())
	}
	if paged != nil {
		paged(from)
	}
	return page
}

func TestRoster_ChangeBetweenPagesLosesNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		three, four := newStandInReplica("i-3", "10.3.2.1", "east", "swift"), newStandInReplica("i-4", "10.3.2.2", "east", "swift")
		f := startFleet(t, 1, standIn, two, three, four)
		defer f.network.resetAll("10.1.2.1")
		f.lock.Lock()
		f.pageSize = 2
		f.lock.Unlock()
		time.Sleep(4 * time.Second)
		o := newOperators(f, 1, 1, 2, 3)
		ended := false
		f.lock.Lock()
		f.paged = func(from int) {
			if !ended && from == 0 {
				ended = true
				f.hide(standIn, true)
			}
		}
		f.lock.Unlock()
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				assert.Equal(t, o.stateListed(coreHost(number), "i-3"), "ready", "at %d", number)
			}
		}
		assert.Equal(t, o.stateListed(coreHost(1), "i-1"), "", "the one that ended is gone")
	})
}
