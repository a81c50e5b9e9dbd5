package controlplane

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
)

const (
	// minListInterval is the shortest pause between two readings of the list.
	minListInterval = 450 * time.Millisecond
	// staleListAge is how old a list may be before a daemon without the lease reads it itself.
	staleListAge = 1300 * time.Millisecond
	// listRateDivisor: one reader takes the platform's rate divided by this at most.
	listRateDivisor = 3
)

// listInterval is the pause between two readings of a list of that many pages.
func listInterval(perSecond float64, pages int) time.Duration {
	return max(minListInterval, time.Duration(float64(listRateDivisor*time.Second)*float64(pages)/max(perSecond, 0.1)))
}

// sharedListInterval is the pause of each of the daemons that read the list without the lease: together
// they take no more of the platform's rate than the holder does.
func sharedListInterval(perSecond float64, pages, readers int) time.Duration {
	return listInterval(perSecond, pages*max(readers, 1))
}

// staleAge is how old a list of that many pages may be before it is read without the lease: staleListAge,
// or as much later as the holder's pause is longer than the shortest.
func staleAge(perSecond float64, pages int) time.Duration {
	return staleListAge + listInterval(perSecond, pages) - minListInterval
}

// runRoster reads the platform's list while this daemon holds the lease, or where the holder's list
// has not come for too long.
func (n *Node) runRoster(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		startedAt, perSecond := n.clock(), n.settings.CloudAPI.RatePerS
		holding := n.scheduler.Lease().Holds()
		if holding || n.roster.age(startedAt) > staleAge(perSecond, n.discovery.PageCount()) {
			n.refreshRoster(ctx, startedAt)
		}
		interval := sharedListInterval(perSecond, n.discovery.PageCount(), len(n.publisher.Current().ControlPlanes)-1)
		if holding {
			n.sendRoster(ctx, true)
			interval = listInterval(perSecond, n.discovery.PageCount())
		}
		timer.Reset(max(interval-n.clock().Sub(startedAt), minListInterval/4))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// refreshRoster reads the platform's list and publishes it. What a member shares meanwhile may be newer
// than the question that began then; the list that was read is dropped in that case.
func (n *Node) refreshRoster(ctx context.Context, startedAt time.Time) {
	entries, err := n.discovery.List(ctx)
	if err != nil {
		logrus.WithError(err).Debug("platform list not read")
		return
	}
	replicas := n.listMerger.Merge(entries, n.discovery.PageCount(), startedAt)
	sort.Slice(replicas, func(left, right int) bool { return replicas[left].ID < replicas[right].ID })
	addWarmUpElapsed(replicas, n.clock().Sub(startedAt))
	if n.roster.set(replicas, startedAt) {
		n.publishRoster()
	}
}

// addWarmUpElapsed makes the cold times left those of the moment when the question began. The platform
// may have told them as late as now, so they are lengthened by the time that the reading took.
func addWarmUpElapsed(replicas []discovery.Replica, elapsed time.Duration) {
	for index := range replicas {
		if left := &replicas[index].WarmUpRemainingMs; *left > 0 {
			*left += float64(elapsed) / float64(time.Millisecond)
		}
	}
}

// publishRoster publishes the list held, with what the scheduler knows better while it places, or with
// what the lease holder barred. Any goroutine may call it.
func (n *Node) publishRoster() {
	n.roster.publishLock.Lock()
	defer n.roster.publishLock.Unlock()
	replicas, at := n.roster.current()
	cordoned := n.roster.cordonedReplicas(n.clock())
	if n.scheduler.Lease().Holds() {
		replicas, cordoned = n.scheduler.Observations().Apply(replicas, at)
	}
	n.publishReplicas(replicas, cordoned, at)
}

// postJSON publishes a list and what is barred, as of a moment.
func (n *Node) publishReplicas(replicas []discovery.Replica, cordoned []string, at time.Time) {
	changed := false
	n.publisher.UpdateQuietly(func(next *watch.Snapshot) {
		changed = !sameReplicas(next.Replicas, replicas) || !slices.Equal(next.Cordoned, cordoned)
		if changed {
			next.RosterVersion++
			next.Replicas, next.Cordoned = replicas, cordoned
		}
		next.RosterAsOf = at
	})
	if changed {
		n.scheduler.Copies().AdoptList(replicas, n.clock())
	}
	n.endpoints.Publish(replicas, cordoned, at)
}

// sameReplicas tells whether two lists say the same, to a second of cold time.
func sameReplicas(left, right []discovery.Replica) bool {
	return slices.EqualFunc(left, right, func(one, other discovery.Replica) bool {
		return discovery.SameReplica(one, other) && discovery.SameModels(one.Models, other.Models) && int(one.WarmUpRemainingMs+999)/1000 == int(other.WarmUpRemainingMs+999)/1000
	})
}
