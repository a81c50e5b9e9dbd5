package controlplane

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/platform"
)

const (
	// listEvery is the shortest pause between two readings of the list.
	listEvery = 450 * time.Millisecond
	// staleList is how old a list may be before a daemon without the lease reads it itself.
	staleList = 1300 * time.Millisecond
	// listShare: one reader takes the platform's rate divided by this at most.
	listShare = 3
)

// listPause is the pause between two readings of a list of that many pages.
func listPause(perSecond float64, pages int) time.Duration {
	return max(listEvery, time.Duration(float64(listShare*time.Second)*float64(pages)/max(perSecond, 0.1)))
}

// sharedListPause is the pause of each of the daemons that read the list without the lease: together
// they take no more of the platform's rate than the holder does.
func sharedListPause(perSecond float64, pages, readers int) time.Duration {
	return listPause(perSecond, pages*max(readers, 1))
}

// staleAfter is how old a list of that many pages may be before it is read without the lease: staleList,
// or as much later as the holder's pause is longer than the shortest.
func staleAfter(perSecond float64, pages int) time.Duration {
	return staleList + listPause(perSecond, pages) - listEvery
}

// rosterLoop reads the platform's list while this daemon holds the lease, or where the holder's list
// has not come for too long.
func (d *Daemon) rosterLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		began, perSecond := d.clock(), d.settings.CloudAPI.RatePerS
		holding := d.scheduler.Holding()
		if holding || d.roster.age(began) > staleAfter(perSecond, d.list.Pages()) {
			d.readList(ctx, began)
		}
		pause := sharedListPause(perSecond, d.list.Pages(), len(d.publisher.Current().ControlPlanes)-1)
		if holding {
			d.shareRoster(ctx, true)
			pause = listPause(perSecond, d.list.Pages())
		}
		timer.Reset(max(pause-d.clock().Sub(began), listEvery/4))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// readList reads the platform's list and publishes it. What a member shares meanwhile may be newer
// than the question that began then; the list that was read is dropped in that case.
func (d *Daemon) readList(ctx context.Context, began time.Time) {
	entries, err := d.list.Read(ctx)
	if err != nil {
		logrus.WithError(err).Debug("platform list not read")
		return
	}
	replicas := d.merger.Merge(entries, d.list.Pages(), began)
	sort.Slice(replicas, func(left, right int) bool { return replicas[left].ID < replicas[right].ID })
	countColdFrom(replicas, d.clock().Sub(began))
	if d.roster.set(replicas, began) {
		d.publishRoster()
	}
}

// countColdFrom makes the cold times left those of the moment when the question began. The platform
// may have told them as late as now, so they are lengthened by the time that the reading took.
func countColdFrom(replicas []platform.Replica, took time.Duration) {
	for index := range replicas {
		if left := &replicas[index].ColdRemainingMs; *left > 0 {
			*left += float64(took) / float64(time.Millisecond)
		}
	}
}

// publishRoster publishes the list held, with what the scheduler knows better while it places, or with
// what the lease holder barred. Any goroutine may call it.
func (d *Daemon) publishRoster() {
	d.roster.publishing.Lock()
	defer d.roster.publishing.Unlock()
	replicas, at := d.roster.held()
	barred := d.roster.bars(d.clock())
	if d.scheduler.Holding() {
		replicas, barred = d.scheduler.overlay(replicas, at)
	}
	d.post(replicas, barred, at)
}

// post publishes a list and what is barred, as of a moment.
func (d *Daemon) post(replicas []platform.Replica, barred []string, at time.Time) {
	changed := false
	d.publisher.UpdateQuietly(func(next *Snapshot) {
		changed = !sameReplicas(next.Replicas, replicas) || !slices.Equal(next.Cordoned, barred)
		if changed {
			next.RosterVersion++
			next.Replicas, next.Cordoned = replicas, barred
		}
		next.RosterAsOf = at
	})
	if changed {
		d.scheduler.noteAges(replicas)
	}
	d.parts.Publish(replicas, barred, at)
}

// sameReplicas tells whether two lists say the same, to a second of cold time.
func sameReplicas(left, right []platform.Replica) bool {
	return slices.EqualFunc(left, right, func(one, other platform.Replica) bool {
		return sameReplica(one, other) && sameModels(one.Models, other.Models) && int(one.ColdRemainingMs+999)/1000 == int(other.ColdRemainingMs+999)/1000
	})
}

// overlay is the list with the models that the scheduler knows of from later reports, and what it
// bars.
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
