package roster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// Lister reads the platform's list (discovery.Client). It is used by one goroutine.
type Lister interface {
	List(ctx context.Context, options discovery.ListOptions) ([]discovery.Replica, error)
	// PageCount returns the number of pages of the last complete list; each counts as a call to the platform.
	PageCount() int
}

// Placement is the node's scheduler. Its methods may be called from any goroutine.
type Placement interface {
	// HoldsLease reports whether this node holds the placement lease now.
	HoldsLease() bool
	// Fence returns the fencing token of the last lease granted to this node, and false once the node has
	// released or lost it.
	Fence() (uint64, bool)
	// WithObserved returns the list, as of asOf, updated with what the scheduler has learned from later
	// reports, and the models that the scheduler cordons.
	WithObserved(replicas []discovery.Replica, asOf time.Time) ([]discovery.Replica, []string)
	// DemandRates returns the demand rates that periodic updates carry for a possible next lease holder.
	DemandRates() map[string]peer.Rate
	// AdoptUpdate applies the parts of a lease holder's update other than the list.
	AdoptUpdate(update peer.RosterUpdate)
	// RecordListed records the models of replicas that the lease holder's update lists.
	RecordListed(replicas []discovery.Replica)
}

// Publisher publishes the list to data planes and to the rest of the node.
type Publisher interface {
	// PublishRoster publishes a list, ordered by id, and the cordoned models, as of asOf.
	PublishRoster(replicas []discovery.Replica, cordoned []string, asOf time.Time)
	// PublishedRoster returns the list, cordoned models and time published last.
	PublishedRoster() (replicas []discovery.Replica, cordoned []string, asOf time.Time)
}

// Cluster gives access to the other control-plane nodes.
type Cluster interface {
	// OtherControlPlanes returns the addresses of the other nodes.
	OtherControlPlanes() []string
	// LeaseHolder returns the address of the last known holder of the placement lease, or "".
	LeaseHolder() string
	// OtherControlPlaneCount returns how many other nodes may read the platform's list besides this one.
	OtherControlPlaneCount() int
	// Call calls a method of another node.
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// Config holds a roster's settings.
type Config struct {
	// Self is this node's address, Incarnation identifies its process.
	Self        string
	Incarnation string
	// CallsPerSecond is the rate at which the platform allows pages of its list to be read.
	CallsPerSecond float64
	// Clock is the node's monotonic clock.
	Clock func() time.Time
}

// Roster holds this node's copy of the list and exchanges updates with the other nodes. Any goroutine may call its methods.
type Roster struct {
	config    Config
	lister    Lister
	placement Placement
	publisher Publisher
	cluster   Cluster

	merger   discovery.Merger // used by the reading loop only
	takeover takeover
	// reading is set while the platform's list is being read.
	reading atomic.Bool
	// changedAt is when a read last found a changed list; used by the reading loop only.
	changedAt time.Time
	// ratesSentAt is when a periodic update last carried the demand rates; used by the reading loop only.
	ratesSentAt time.Time
	list        list
	// publishLock is held from reading the list until it is published, so that an older list never replaces a newer one.
	publishLock sync.Mutex
	deliveries  deliveries
	// sequence is the sequence number of the last update that was composed.
	sequence atomic.Uint64
	// sendRequested receives a value when an update is to be sent to all other nodes ahead of the next periodic one.
	sendRequested chan struct{}
	// sends counts the updates in progress; Run waits for them.
	sends sync.WaitGroup
}

// New returns a roster with an empty list.
func New(config Config, lister Lister, placement Placement, publisher Publisher, cluster Cluster) *Roster {
	return &Roster{
		config:        config,
		lister:        lister,
		placement:     placement,
		publisher:     publisher,
		cluster:       cluster,
		deliveries:    newDeliveries(),
		sendRequested: make(chan struct{}, 1),
	}
}

// Run reads and sends the list until ctx ends, and returns once all goroutines that it started have ended.
func (r *Roster) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.runReads(ctx) })
	loops.Go(func() { r.runRequestedSends(ctx) })
	loops.Wait()
	r.sends.Wait()
}

// Current returns the list, ordered by id, and a time that it is at least as recent as.
func (r *Roster) Current() ([]discovery.Replica, time.Time) { return r.list.current() }

// Replicas returns the list, ordered by id.
func (r *Roster) Replicas() []discovery.Replica {
	replicas, _ := r.list.current()
	return replicas
}

// Adopt publishes a list, ordered by id, that did not come as an update from the lease holder, unless the
// current one is as recent. The list is at least as recent as asOf and had so many pages (0 if not known).
func (r *Roster) Adopt(replicas []discovery.Replica, pages int, asOf time.Time) {
	if r.list.set(replicas, pages, asOf) {
		r.Publish()
	}
}

// pageCount returns the number of pages of the platform's list, from the current list or from this node's own last read.
func (r *Roster) pageCount() int {
	if pages := r.list.pageCount(); pages > 0 {
		return pages
	}
	return r.lister.PageCount()
}

// runReads keeps the list up to date until ctx ends: it reads it from the platform while this node holds the
// lease, and refreshes it when the lease holder's updates are late.
func (r *Roster) runReads(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		startedAt := r.config.Clock()
		interval := r.readIfDue(ctx, startedAt)
		timer.Reset(max(interval-r.config.Clock().Sub(startedAt), r.takeover.minPause()))
	}
}

// readIfDue reads and sends the list if this node holds the lease, or refreshes it if it is stale, and returns
// the interval until the next call.
func (r *Roster) readIfDue(ctx context.Context, now time.Time) time.Duration {
	rate := r.config.CallsPerSecond
	holdsLease := r.placement.HoldsLease()
	isStale := r.list.age(now) > staleAge(rate, r.pageCount())
	if !holdsLease && isStale {
		r.refreshWithoutLease(ctx, now)
		if after := r.config.Clock(); r.list.age(after) > recentAge(rate, r.pageCount()) {
			return r.takeover.fetchInterval(after)
		}
	}
	r.takeover = takeover{}
	if !holdsLease {
		return min(sharedListInterval(rate, r.pageCount(), r.cluster.OtherControlPlaneCount()), maxListInterval)
	}
	_ = r.read(ctx, now, discovery.ListOptions{PagesPerSecond: rate * holderRateShare})
	r.sendAll(ctx, r.nextContent(now))
	return stretchedInterval(listInterval(rate, r.pageCount()), now.Sub(r.changedAt))
}

// nextContent returns the content of the periodic update that is due now.
func (r *Roster) nextContent(now time.Time) updateContent {
	if now.Sub(r.ratesSentAt) < ratesInterval {
		return listOnly
	}
	r.ratesSentAt = now
	return withRates
}

// read reads the platform's list and publishes it. If an update newer than startedAt is received meanwhile,
// the list that was read is dropped.
func (r *Roster) read(ctx context.Context, startedAt time.Time, options discovery.ListOptions) error {
	options.OnPage = r.observePage
	r.reading.Store(true)
	entries, err := r.lister.List(ctx, options)
	r.reading.Store(false)
	if err != nil {
		logrus.WithError(err).Debug("platform list not read")
		return err
	}
	replicas := r.merger.Merge(entries, r.lister.PageCount(), startedAt)
	slices.SortFunc(replicas, byID)
	addReadDuration(replicas, r.config.Clock().Sub(startedAt))
	if !SameContent(replicas, r.Replicas()) {
		r.changedAt = startedAt
	}
	r.Adopt(replicas, r.lister.PageCount(), startedAt)
	return nil
}

// observePage publishes draining replicas as soon as a page lists them: all pages of a long list take seconds to read, which is too
// late to stop requests to a draining replica.
func (r *Roster) observePage(entries []discovery.Replica) {
	draining := map[string]discovery.Replica{}
	for _, entry := range entries {
		if entry.State == discovery.StateDraining {
			draining[entry.ID] = entry
		}
	}
	if len(draining) > 0 && r.list.markDraining(draining) {
		r.Publish()
		r.RequestSend()
	}
}

func byID(left, right discovery.Replica) int { return strings.Compare(left.ID, right.ID) }

// addReadDuration converts the remaining warm-up times to those at the start of the read. The platform
// may have computed them as late as at its end, so they are extended by the duration of the read.
func addReadDuration(replicas []discovery.Replica, elapsed time.Duration) {
	for index := range replicas {
		if remaining := &replicas[index].WarmUpRemainingMs; *remaining > 0 {
			*remaining += float64(elapsed) / float64(time.Millisecond)
		}
	}
}

// Publish publishes the list: with the scheduler's later observations and cordons while this node holds the
// lease, else with the models that the lease holder cordoned.
func (r *Roster) Publish() {
	r.publishLock.Lock()
	defer r.publishLock.Unlock()
	replicas, asOf := r.list.current()
	cordoned := r.list.cordonedModels(r.config.Clock())
	if r.placement.HoldsLease() {
		replicas, cordoned = r.placement.WithObserved(replicas, asOf)
	}
	r.publisher.PublishRoster(replicas, cordoned, asOf)
}

// SameContent reports whether two lists are equal, with warm-up times compared in seconds.
func SameContent(left, right []discovery.Replica) bool {
	return slices.EqualFunc(left, right, func(former, latter discovery.Replica) bool {
		return discovery.SameReplica(former, latter) &&
			discovery.SameModels(former.Models, latter.Models) &&
			warmUpSeconds(former) == warmUpSeconds(latter)
	})
}

// warmUpSeconds returns the remaining warm-up time in seconds, rounded up.
func warmUpSeconds(replica discovery.Replica) int { return int(replica.WarmUpRemainingMs+999) / 1000 }
