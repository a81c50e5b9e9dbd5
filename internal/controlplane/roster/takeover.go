package roster

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// While there is no lease holder, as after a restart of all control planes, or while its updates are late, a node without a recent
// list fetches it from other nodes before it reads the platform's, unless the list is short. If all nodes read a list of many pages
// at once, they exceed the platform's rate together, and none gets a complete list for seconds.

const (
	// minFetchInterval and maxFetchInterval bound the pause between two rounds of fetches, which grows with the time for which there has
	// been no recent list.
	minFetchInterval = 35 * time.Millisecond
	maxFetchInterval = minListInterval
	// fetchIntervalDivisor divides the time for which there has been no recent list to give the pause between two rounds.
	fetchIntervalDivisor = 8
	// turnInterval is the delay between the turns of two nodes to read the platform's list.
	turnInterval = 250 * time.Millisecond
	// readingTTL is how long another node's reply that it is reading the list counts; maxReaderWait is how long
	// after its own list became stale a node waits for such a reader at most.
	readingTTL    = 2 * turnInterval
	maxReaderWait = 2500 * time.Millisecond
	// fetchTimeout bounds one round of fetches.
	fetchTimeout = 400 * time.Millisecond
	// maxSharedPages is the length of a list, in pages, up to which all nodes may read it at once: the calls cost less than waiting
	// for a turn.
	maxSharedPages = 8
	// maxTargets is the number of nodes that are asked in one round.
	maxTargets = 2
)

// FetchRequest requests another control plane's list.
type FetchRequest struct {
	// Member is the address of the requesting node.
	Member string `json:"member"`
}

// FetchReply contains the receiver's list, whose age is AgeMs, or no list if it isn't recent.
type FetchReply struct {
	Replicas []discovery.Replica `json:"replicas,omitempty"`
	AgeMs    int64               `json:"ageMs,omitempty"`
	// Pages is the number of pages that the platform's list had, 0 if that is not known.
	Pages int `json:"pages,omitempty"`
	// Reading is set while the receiver is reading the platform's list.
	Reading bool `json:"reading,omitempty"`
}

// HandleFetch returns this node's list if it is recent.
func (r *Roster) HandleFetch(context.Context, FetchRequest) FetchReply {
	replicas, asOf := r.list.current()
	age := r.config.Clock().Sub(asOf)
	if len(replicas) == 0 || age > recentAge(r.config.CallsPerSecond, r.pageCount()) {
		return FetchReply{Reading: r.reading.Load(), Pages: r.list.pageCount()}
	}
	return FetchReply{Replicas: replicas, AgeMs: age.Milliseconds(), Pages: r.list.pageCount()}
}

// takeover is the state of a period during which this node has neither the lease nor a recent list. Only the reading loop uses it.
type takeover struct {
	// staleSince is when the period began, zero outside of one; readAt is when this node last read the platform's list during it.
	staleSince time.Time
	readAt     time.Time
	// readsInTurn is set once the platform has throttled a read of this node, or the list has turned out to be long.
	readsInTurn bool
	// rounds counts the rounds of fetches.
	rounds int
	// reader is the node that last replied that it was reading the list, at readingAt.
	reader    string
	readingAt time.Time
}

// minPause returns the shortest pause after a round of fetches or a read.
func (t *takeover) minPause() time.Duration {
	if t.staleSince.IsZero() {
		return minReadPause
	}
	return minFetchInterval
}

// isOtherReading reports whether another node was reading the list within readingTTL, unless this node has waited for maxReaderWait.
func (t *takeover) isOtherReading(now time.Time) bool {
	return now.Sub(t.readingAt) < readingTTL && now.Sub(t.staleSince) < maxReaderWait
}

// fetchInterval returns the pause until the next round of fetches.
func (t *takeover) fetchInterval(now time.Time) time.Duration {
	return min(max(now.Sub(t.staleSince)/fetchIntervalDivisor, minFetchInterval), maxFetchInterval)
}

// refreshWithoutLease gets a recent list from other nodes, or from the platform when it is this node's turn to read it. All nodes
// that read without the lease together use no more of the platform's rate than the lease holder does.
func (r *Roster) refreshWithoutLease(ctx context.Context, now time.Time) {
	if r.takeover.staleSince.IsZero() {
		r.takeover = takeover{staleSince: now}
	}
	earlier := r.higherPriorityNodes()
	isShared := r.pageCount() <= maxSharedPages && !r.takeover.readsInTurn
	isTurn := now.Sub(r.takeover.staleSince) >= time.Duration(len(earlier))*turnInterval && !r.takeover.isOtherReading(now)
	interval := sharedListInterval(r.config.CallsPerSecond, r.pageCount(), r.cluster.OtherControlPlaneCount())
	if (isShared || isTurn) && (r.takeover.readAt.IsZero() || now.Sub(r.takeover.readAt) >= interval) {
		r.readWithoutLease(ctx, now, isTurn)
		return
	}
	r.takeover.rounds++
	r.fetch(ctx, r.takeover.nextTargets(earlier))
}

// readWithoutLease reads the platform's list. Outside its turn, a node stops reading when the list turns out to be long, and waits
// for its turn: several nodes that read a long list at once would all be throttled.
func (r *Roster) readWithoutLease(ctx context.Context, now time.Time, isTurn bool) {
	options := discovery.ListOptions{PagesPerSecond: r.config.CallsPerSecond * singleReaderRateShare}
	if !isTurn {
		options.MaxPages = maxSharedPages
	}
	err := r.read(ctx, now, options)
	switch {
	case errors.Is(err, discovery.ErrPageLimit):
		r.takeover.readsInTurn = true
	case errors.Is(err, discovery.ErrThrottled):
		r.takeover.readsInTurn, r.takeover.readAt = true, now
	default:
		r.takeover.readAt = now
	}
}

// higherPriorityNodes returns the nodes whose turn to read the list comes before this node's: the last lease holder, whose update
// may just be late, then the nodes with lower addresses.
func (r *Roster) higherPriorityNodes() []string {
	holder := r.cluster.LeaseHolder()
	if holder == r.config.Self {
		return nil
	}
	others := slices.Sorted(slices.Values(r.cluster.OtherControlPlanes()))
	at, _ := slices.BinarySearch(others, r.config.Self)
	before := others[:at]
	if !slices.Contains(others, holder) {
		return before
	}
	rest := slices.DeleteFunc(slices.Clone(before), func(address string) bool { return address == holder })
	return slices.Concat([]string{holder}, rest)
}

// nextTargets returns the nodes to ask in a round: the one that was reading, then others in rotation, so that a round isn't spent on
// unreachable nodes only.
func (t *takeover) nextTargets(nodes []string) []string {
	var targets []string
	if slices.Contains(nodes, t.reader) {
		targets = append(targets, t.reader)
	}
	for step := 0; step < len(nodes) && len(targets) < maxTargets; step++ {
		if next := nodes[(t.rounds+step)%len(nodes)]; next != t.reader {
			targets = append(targets, next)
		}
	}
	return targets
}

// fetch asks the nodes one after the other for their lists until one has a recent list.
func (r *Roster) fetch(ctx context.Context, nodes []string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, address := range nodes {
		var reply FetchReply
		requestedAt := r.config.Clock()
		if r.cluster.Call(ctx, peer.MethodFetchRoster, address, FetchRequest{Member: r.config.Self}, &reply) != nil {
			continue
		}
		if reply.Reading {
			r.takeover.reader, r.takeover.readingAt = address, r.config.Clock()
		}
		if len(reply.Replicas) > 0 {
			// The reply's age may date from as early as the request was sent.
			r.Adopt(reply.Replicas, reply.Pages, requestedAt.Add(-time.Duration(reply.AgeMs)*time.Millisecond))
			return
		}
	}
}
