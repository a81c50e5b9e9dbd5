package controlplane

import (
	"context"
	"sync"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// summaryInterval is how often sums go to the other control planes.
	summaryInterval = 250 * time.Millisecond
	// minDemandInterval is the least time between two hurried shares of demand.
	minDemandInterval = 20 * time.Millisecond
	// summariesPerDemand is how many exchanges there are to one share of the demand.
	summariesPerDemand = 2
)

// unpackedPeers remembers which control planes could not open packed sums.
type unpackedPeers struct {
	lock      sync.Mutex
	byAddress map[string]bool
}

// wants tells whether sums for the address must name their replicas.
func (u *unpackedPeers) needsUnpacked(address string) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.byAddress[address]
}

// note keeps whether the address wants named sums.
func (u *unpackedPeers) record(address string, unpacked bool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.byAddress == nil {
		u.byAddress = map[string]bool{}
	}
	u.byAddress[address] = unpacked
}

// runLoadExchange shares sums and demand until the context ends, and demand at once if a model is newly
// waited for.
func (n *Node) runLoadExchange(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.sendSummaries(ctx)
			if turn++; turn%summariesPerDemand == 0 {
				n.sendDemand(ctx, false)
			}
		case <-n.loads.wake:
			n.sendDemand(ctx, true)
			nodesettings.Sleep(ctx, minDemandInterval)
		}
	}
}

// exchange sends this daemon's sums to every other control plane and does not wait for the answers.
func (n *Node) sendSummaries(ctx context.Context) {
	full := n.loads.Summary(n.self, n.clock())
	packed := n.dense.pack(full, n.roster.replicaList())
	for _, address := range n.members.Others() {
		summary := packed
		if n.exchanged.needsUnpacked(address) {
			summary = full
		}
		go func() {
			var reply peer.LoadSummaryReply
			if n.peers.Call(ctx, "sums", address, summary, &reply) == nil {
				n.exchanged.record(address, reply.UnknownVersion)
			}
		}()
	}
}

// sendDemand gives this daemon's share of the demand to the placement holder, which may be itself.
// Arrivals that may not have been delivered are sent again, and count once.
func (n *Node) sendDemand(ctx context.Context, partial bool) {
	leaseHolder := n.publisher.Current().LeaseHolder
	if leaseHolder == "" {
		return
	}
	summary := n.loads.DemandSummary(n.self, partial)
	if partial && len(summary.Models) == 0 {
		return
	}
	summary.Incarnation = n.incarnation
	if leaseHolder == n.self {
		n.scheduler.Demand().HandleSummary(summary)
		n.loads.markDelivered(summary)
		return
	}
	go func() {
		if err := n.peers.Call(ctx, "sums", leaseHolder, summary, nil); err != nil {
			n.loads.markUncertain(summary)
			return
		}
		n.loads.markDelivered(summary)
	}()
}
