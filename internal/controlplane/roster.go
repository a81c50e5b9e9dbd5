package controlplane

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/platform"
)

type rosterState struct {
	lock     sync.Mutex
	replicas []platform.Replica
	at       time.Time
	shared   map[string]shared
	sharing  map[string]bool
	again    map[string]bool
	from     string
	stamp    string
	// fence and number are those of the newest share heard.
	fence  uint64
	number uint64
}

// advance notes the fence and number of a share, and says whether it is newer than all before.
func (r *rosterState) advance(fence, number uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if fence < r.fence || fence == r.fence && number <= r.number {
		return false
	}
	r.fence, r.number = fence, number
	return true
}

func (r *rosterState) listed() []platform.Replica {
	replicas, _ := r.read()
	return replicas
}

// read is the list with the moment before which it was read.
func (r *rosterState) read() ([]platform.Replica, time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.replicas, r.at
}

func (r *rosterState) set(replicas []platform.Replica, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.replicas, r.at = replicas, at
}

func (r *rosterState) own() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.from = ""
}

func (r *rosterState) begin(address string, periodic bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.sharing == nil {
		r.shared, r.sharing, r.again = map[string]shared{}, map[string]bool{}, map[string]bool{}
	}
	if r.sharing[address] {
		r.again[address] = true
		return false
	}
	r.sharing[address] = true
	return true
}

func (r *rosterState) sharedWith(address string) (shared, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	held, known := r.shared[address]
	return held, known
}

func (r *rosterState) end(address string, told shared, taken bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	again := r.again[address]
	delete(r.again, address)
	delete(r.shared, address)
	if taken {
		r.shared[address] = told
	}
	r.sharing[address] = again
	return again
}

func (r *rosterState) age(now time.Time) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	return now.Sub(r.at)
}

const (
	listEvery = 450 * time.Millisecond
	staleList = 1300 * time.Millisecond
)

const listShare = 3

func listPause(perSecond float64, pages int) time.Duration {
	return max(listEvery, time.Duration(float64(listShare*time.Second)*float64(pages)/max(perSecond, 0.1)))
}

func (d *Daemon) rosterLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		began := d.clock()
		holding := d.scheduler.Holding()
		if holding || d.roster.age(began) > staleList {
			replicas, err := d.list.Read(ctx)
			if err == nil {
				sort.Slice(replicas, func(left, right int) bool { return replicas[left].ID < replicas[right].ID })
				d.roster.set(replicas, began)
				d.roster.own()
				d.publishRoster()
			} else {
				logrus.WithError(err).Debug("platform list not read")
			}
		}
		if holding {
			d.shareRoster(ctx, true)
		}
		timer.Reset(max(listPause(d.settings.CloudAPI.RatePerS, d.list.Pages())-d.clock().Sub(began), listEvery/4))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func (d *Daemon) publishRoster() {
	replicas, at := d.roster.read()
	var barred []string
	if d.scheduler.Holding() {
		replicas, barred = d.scheduler.overlay(replicas, at)
	}
	d.post(replicas, barred, at)
}

func (d *Daemon) post(replicas []platform.Replica, barred []string, at time.Time) {
	changed := false
	d.publisher.Touch(func(next *Snapshot) {
		changed = !sameReplicas(next.Replicas, replicas) || !slices.Equal(next.Barred, barred)
		if changed {
			next.Roster++
			next.Replicas, next.Barred = replicas, barred
		}
		next.RosterAt = at
	})
	if changed {
		d.scheduler.noteAges(replicas)
	}
	d.parts.Publish(replicas, barred, at)
}

func sameReplicas(left, right []platform.Replica) bool {
	return slices.EqualFunc(left, right, func(one, other platform.Replica) bool {
		return sameFact(one, other) && sameHeld(one.Models, other.Models) && int(one.ColdRemainingMs+999)/1000 == int(other.ColdRemainingMs+999)/1000
	})
}

func (w *Scheduler) overlay(replicas []platform.Replica, at time.Time) ([]platform.Replica, []string) {
	lag := w.listLag()
	result := make([]platform.Replica, len(replicas))
	var barred []string
	w.lock.Lock()
	defer w.lock.Unlock()
	for index, listed := range replicas {
		result[index] = listed
		over, known := w.overlays[listed.ID]
		if !known {
			continue
		}
		barred = append(barred, over.barred...)
		if !over.at.IsZero() && at.Add(-lag).Before(over.at) {
			result[index].Models = over.models
		}
	}
	sort.Strings(barred)
	return result, barred
}
