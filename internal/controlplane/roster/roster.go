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
	List(ctx context.Context, options discovery.ReadOptions) ([]discovery.Replica, error)
	// PageCount is how many pages the last complete list had; each counts as a call to the platform.
	PageCount() int
}

// Placement is the node's scheduler. Its methods may be called from any goroutine.
type Placement interface {
	// HoldsLease tells whether this node holds the placement lease now.
	HoldsLease() bool
	// Fence returns the fencing token of the last lease granted to this node, and false once it has
	// given that up or lost it.
	Fence() (uint64, bool)
	// WithObserved returns the list, as of that moment, with what the scheduler knows from later reports,
	// and the models that it cordons.
	WithObserved(replicas []discovery.Replica, asOf time.Time) ([]discovery.Replica, []string)
	// DemandRates are the rates of demand that periodic updates carry to a possible successor.
	DemandRates() map[string]peer.Rate
	// AdoptUpdate takes in what an update of the lease holder says beside the list.
	AdoptUpdate(update peer.RosterUpdate)
	// RecordListed records the models of replicas that the lease holder's update lists.
	RecordListed(replicas []discovery.Replica)
}

// Publisher publishes the list to data planes and to the rest of the node.
type Publisher interface {
	// PublishRoster publishes a list, ordered by id, and the cordoned models, as of that moment.
	PublishRoster(replicas []discovery.Replica, cordoned []string, asOf time.Time)
	// PublishedRoster returns what was published last.
	PublishedRoster() (replicas []discovery.Replica, cordoned []string, asOf time.Time)
}

// Cluster is the other control-plane nodes.
type Cluster interface {
	// OtherControlPlanes lists their addresses.
	OtherControlPlanes() []string
	// LeaseHolder is the address of the node that held the placement lease last, as far as is known, or "".
	LeaseHolder() string
	// OtherControlPlaneCount is how many of them may read the platform's list beside this node.
	OtherControlPlaneCount() int
	// Call calls a method of another node.
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// Config is what a roster needs beside its collaborators.
type Config struct {
	// Self is this node's address, Incarnation names this start of its process.
	Self        string
	Incarnation string
	// CallsPerSecond is the rate at which the platform allows its list to be read, in pages.
	CallsPerSecond float64
	// Clock is the node's steady clock.
	Clock func() time.Time
}

// Roster holds the list. Any goroutine may call its methods.
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
	// changedAt is when a read found another list than the one before; used by the reading loop only.
	changedAt time.Time
	// ratesSentAt is when a periodic update carried the rates of demand last; used by the reading loop only.
	ratesSentAt time.Time
	list        list
	// publishLock is held from reading the list until it is published, so that the newest stays.
	publishLock sync.Mutex
	deliveries  deliveries
	// sequence is the number of the last update that was composed.
	sequence atomic.Uint64
	// sendRequested asks for an update of all others between the periodic ones.
	sendRequested chan struct{}
	// sends counts updates under way; Run waits for them.
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

// Run reads and sends the list until ctx ends, and returns once all that it started has ended.
func (r *Roster) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.runReads(ctx) })
	loops.Go(func() { r.runRequestedSends(ctx) })
	loops.Wait()
	r.sends.Wait()
}

// Current returns the list, ordered by id, and a moment at or before which it was made.
func (r *Roster) Current() ([]discovery.Replica, time.Time) { return r.list.current() }

// Replicas returns the list, ordered by id.
func (r *Roster) Replicas() []discovery.Replica {
	replicas, _ := r.list.current()
	return replicas
}

// Adopt adopts and publishes a list, ordered by id, that did not come by an update of the lease holder
// and was made at that moment or later, of so many pages (0 if not known), unless the present one is as new.
func (r *Roster) Adopt(replicas []discovery.Replica, pages int, asOf time.Time) {
	if r.list.set(replicas, pages, asOf) {
		r.Publish()
	}
}

// pageCount is how many pages the platform's list has, by the present list or what this node has read itself.
func (r *Roster) pageCount() int {
	if pages := r.list.pageCount(); pages > 0 {
		return pages
	}
	return r.lister.PageCount()
}

// runReads reads the platform's list while this node holds the lease, or where the lease holder's
// updates have not come for too long.
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

// readIfDue reads the list if it is this node's turn, sends it if this node holds the lease, and returns
// the interval until the next read.
func (r *Roster) readIfDue(ctx context.Context, now time.Time) time.Duration {
	rate := r.config.CallsPerSecond
	holdsLease := r.placement.HoldsLease()
	isStale := r.list.age(now) > staleAge(rate, r.pageCount())
	if !holdsLease && isStale {
		r.refreshWithoutLease(ctx, now)
		if after := r.config.Clock(); r.list.age(after) > recentAge(rate, r.pageCount()) {
			return r.takeover.askInterval(after)
		}
	}
	r.takeover = takeover{}
	if !holdsLease {
		return min(sharedListInterval(rate, r.pageCount(), r.cluster.OtherControlPlaneCount()), maxListInterval)
	}
	_ = r.read(ctx, now, discovery.ReadOptions{PagesPerSecond: rate * holderRateShare})
	r.sendAll(ctx, r.nextContent(now))
	return settled(listInterval(rate, r.pageCount()), now.Sub(r.changedAt))
}

// nextContent is what the periodic update carries that is due now.
func (r *Roster) nextContent(now time.Time) content {
	if now.Sub(r.ratesSentAt) < ratesInterval {
		return listOnly
	}
	r.ratesSentAt = now
	return withRates
}

// read reads the platform's list and publishes it. An update that another node sends meanwhile may be
// newer than startedAt; the list that was read is dropped in that case.
func (r *Roster) read(ctx context.Context, startedAt time.Time, options discovery.ReadOptions) error {
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
	addWarmUpElapsed(replicas, r.config.Clock().Sub(startedAt))
	if !SameContent(replicas, r.Replicas()) {
		r.changedAt = startedAt
	}
	r.Adopt(replicas, r.lister.PageCount(), startedAt)
	return nil
}

// observePage publishes that replicas are draining as soon as a page shows it. The pages of a long list take seconds to read, and
// a draining replica must get no more requests by then.
func (r *Roster) observePage(entries []discovery.Replica) {
	draining := map[string]discovery.Replica{}
	for _, entry := range entries {
		if entry.State == discovery.Draining {
			draining[entry.ID] = entry
		}
	}
	if len(draining) > 0 && r.list.markDraining(draining) {
		r.Publish()
		r.RequestSend()
	}
}

func byID(left, right discovery.Replica) int { return strings.Compare(left.ID, right.ID) }

// addWarmUpElapsed makes the warm-up times left those of the moment when the read started. The platform
// may have stated them as late as now, so they are lengthened by the duration of the read.
func addWarmUpElapsed(replicas []discovery.Replica, elapsed time.Duration) {
	for index := range replicas {
		if remaining := &replicas[index].WarmUpRemainingMs; *remaining > 0 {
			*remaining += float64(elapsed) / float64(time.Millisecond)
		}
	}
}

// Publish publishes the list, with what the scheduler knows better while this node holds the lease, or
// with what the lease holder cordoned.
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

// SameContent tells whether two lists say the same, to a second of warm-up time.
func SameContent(left, right []discovery.Replica) bool {
	return slices.EqualFunc(left, right, func(former, latter discovery.Replica) bool {
		return discovery.SameReplica(former, latter) &&
			discovery.SameModels(former.Models, latter.Models) &&
			warmUpSeconds(former) == warmUpSeconds(latter)
	})
}

// warmUpSeconds is the warm-up time left, in seconds rounded up.
func warmUpSeconds(replica discovery.Replica) int { return int(replica.WarmUpRemainingMs+999) / 1000 }
