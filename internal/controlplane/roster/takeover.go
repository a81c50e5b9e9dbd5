package roster

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// Without a lease holder, as after a restart of all control planes, or while its updates are late, a node without a recent list
// asks others for theirs before it reads the platform's, unless the list is short. If all read a list of many pages at once they
// exceed the platform's rate together, and none gets a complete list for seconds.

const (
	// minAskInterval and maxAskInterval bound the pause between two rounds; it grows with the time for which there is no list.
	minAskInterval = 35 * time.Millisecond
	maxAskInterval = minListInterval
	// askIntervalDivisor: the pause is that part of the time for which there has been no list.
	askIntervalDivisor = 8
	// readTurn is how much later a node reads the platform's list itself than the one before it.
	readTurn = 250 * time.Millisecond
	// readingTTL is for how long it counts that another node said that it was reading; maxAwait is the longest time that a
	// node waits for others after its turn.
	readingTTL = 2 * readTurn
	maxAwait   = 2500 * time.Millisecond
	// fetchTimeout is how long a node that is asked may take.
	fetchTimeout = 400 * time.Millisecond
	// maxSharedPages is the length of a list, in pages, up to which all nodes may read it at once: waiting for a turn costs more
	// than the calls.
	maxSharedPages = 8
	// maxAsked is how many others are asked in a round.
	maxAsked = 2
)

// FetchRequest asks another control plane for its list.
type FetchRequest struct {
	// Member is the address of the node that asks.
	Member string `json:"member"`
}

// FetchReply is the receiver's list, as old as AgeMs, or none if that isn't recent.
type FetchReply struct {
	Replicas []discovery.Replica `json:"replicas,omitempty"`
	AgeMs    int64               `json:"ageMs,omitempty"`
	// Pages is how many pages the platform's list had, 0 if that is not known.
	Pages int `json:"pages,omitempty"`
	// Reading says that the receiver is reading the platform's list.
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

// takeover is a span of time without a lease and without a recent list. It is used by the reading loop only.
type takeover struct {
	// staleSince is when it began, zero outside of one; readAt is when this node last read the platform's list in it.
	staleSince time.Time
	readAt     time.Time
	// takesTurns is set once the platform has rejected a read of this node over the rate, or the list has turned out to be long.
	takesTurns bool
	// rounds counts the rounds of asking.
	rounds int
	// reader is the node that last said that it was reading the list, at readingAt.
	reader    string
	readingAt time.Time
}

// minPause is the least pause after a round or a read.
func (t *takeover) minPause() time.Duration {
	if t.staleSince.IsZero() {
		return minReadPause
	}
	return minAskInterval
}

// awaitsOther reports whether another node was reading the list a moment ago, and this node has not waited for that too long.
func (t *takeover) awaitsOther(now time.Time) bool {
	return now.Sub(t.readingAt) < readingTTL && now.Sub(t.staleSince) < maxAwait
}

// askInterval is the pause until the next round.
func (t *takeover) askInterval(now time.Time) time.Duration {
	return min(max(now.Sub(t.staleSince)/askIntervalDivisor, minAskInterval), maxAskInterval)
}

// refreshWithoutLease gets a recent list from the others, or from the platform when it is this node's turn to read it. All that
// read without the lease take no more of the platform's rate together than the lease holder does.
func (r *Roster) refreshWithoutLease(ctx context.Context, now time.Time) {
	if r.takeover.staleSince.IsZero() {
		r.takeover = takeover{staleSince: now}
	}
	before := r.nodesBefore()
	isShared := r.pageCount() <= maxSharedPages && !r.takeover.takesTurns
	isTurn := now.Sub(r.takeover.staleSince) >= time.Duration(len(before))*readTurn && !r.takeover.awaitsOther(now)
	interval := sharedListInterval(r.config.CallsPerSecond, r.pageCount(), r.cluster.OtherControlPlaneCount())
	if (isShared || isTurn) && (r.takeover.readAt.IsZero() || now.Sub(r.takeover.readAt) >= interval) {
		r.readWithoutLease(ctx, now, isTurn)
		return
	}
	r.takeover.rounds++
	r.fetch(ctx, r.takeover.nextAsked(before))
}

// readWithoutLease reads the platform's list. A node whose turn it is not stops where the list turns out to be long, and waits for
// its turn: several that read a long list at once would all be rejected over the rate.
func (r *Roster) readWithoutLease(ctx context.Context, now time.Time, isTurn bool) {
	options := discovery.ReadOptions{PagesPerSecond: r.config.CallsPerSecond * loneRateShare}
	if !isTurn {
		options.MaxPages = maxSharedPages
	}
	err := r.read(ctx, now, options)
	switch {
	case errors.Is(err, discovery.ErrPageLimit):
		r.takeover.takesTurns = true
	case errors.Is(err, discovery.ErrThrottled):
		r.takeover.takesTurns, r.takeover.readAt = true, now
	default:
		r.takeover.readAt = now
	}
}

// nodesBefore are the nodes that read the list before this one: the last lease holder, whose update may just be late, then those
// whose addresses come before this node's.
func (r *Roster) nodesBefore() []string {
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

// nextAsked are the nodes to ask in a round: the one that was reading, then others in turn, so that nodes that are down are
// passed over.
func (t *takeover) nextAsked(nodes []string) []string {
	var asked []string
	if slices.Contains(nodes, t.reader) {
		asked = append(asked, t.reader)
	}
	for step := 0; step < len(nodes) && len(asked) < maxAsked; step++ {
		if next := nodes[(t.rounds+step)%len(nodes)]; next != t.reader {
			asked = append(asked, next)
		}
	}
	return asked
}

// fetch asks nodes for their list until one has it.
func (r *Roster) fetch(ctx context.Context, nodes []string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, address := range nodes {
		var reply FetchReply
		askedAt := r.config.Clock()
		if r.cluster.Call(ctx, peer.MethodFetchRoster, address, FetchRequest{Member: r.config.Self}, &reply) != nil {
			continue
		}
		if reply.Reading {
			r.takeover.reader, r.takeover.readingAt = address, r.config.Clock()
		}
		if len(reply.Replicas) > 0 {
			// The reply may have been made as early as it was asked for.
			r.Adopt(reply.Replicas, reply.Pages, askedAt.Add(-time.Duration(reply.AgeMs)*time.Millisecond))
			return
		}
	}
}
