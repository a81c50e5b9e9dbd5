package controlplane

import (
	"net/http"
	"slices"
	"time"

	"ferryspar/internal/controlplane/roster"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

const (
	// listConnectTimeout and listAckTimeout bound how long the platform's API may take to accept a connection and to acknowledge
	// data sent on it.
	listConnectTimeout  = 500 * time.Millisecond
	listAckTimeout      = 1500 * time.Millisecond
	listIdleConnections = 2
)

// newRoster returns the roster of the node.
func (n *Node) newRoster() *roster.Roster {
	transport := peer.NewTransport(n.network, listConnectTimeout, listAckTimeout, listIdleConnections)
	lister := &discovery.Client{
		Address:    n.settings.CloudAPI.Address,
		HTTPClient: &http.Client{Transport: transport},
	}
	config := roster.Config{
		Self:           n.self,
		Incarnation:    n.incarnation,
		CallsPerSecond: n.settings.CloudAPI.RatePerS,
		Clock:          n.clock,
	}
	host := rosterHost{Client: n.peers, node: n}
	return roster.New(config, lister, host, host, host)
}

// rosterHost implements the interfaces through which roster.Roster accesses the node's scheduler, its publishers, and the other
// control-plane nodes.
type rosterHost struct {
	*peer.Client
	node *Node
}

// HoldsLease implements roster.Placement.
func (h rosterHost) HoldsLease() bool { return h.node.scheduler.Lease().Holds() }

// Fence implements roster.Placement.
func (h rosterHost) Fence() (uint64, bool) {
	grant := h.node.scheduler.Lease().Grant()
	if grant == nil {
		return 0, false
	}
	return grant.Record.Fence, true
}

// WithObserved implements roster.Placement.
func (h rosterHost) WithObserved(replicas []discovery.Replica, asOf time.Time) ([]discovery.Replica, []string) {
	return h.node.scheduler.Observations().Apply(replicas, asOf)
}

// DemandRates implements roster.Placement.
func (h rosterHost) DemandRates() map[string]peer.Rate {
	return h.node.scheduler.Demand().SharedRates()
}

// AdoptUpdate implements roster.Placement.
func (h rosterHost) AdoptUpdate(update peer.RosterUpdate) {
	h.node.scheduler.Lease().RecordHolderContact()
	h.node.scheduler.Demand().HandleRates(update.Rates)
}

// RecordListed implements roster.Placement.
func (h rosterHost) RecordListed(replicas []discovery.Replica) {
	h.node.scheduler.DiskInventory().RecordList(replicas, h.node.clock())
}

// PublishRoster implements roster.Publisher.
func (h rosterHost) PublishRoster(replicas []discovery.Replica, cordoned []string, asOf time.Time) {
	changed := false
	h.node.publisher.UpdateWithoutNotify(func(next *watch.Snapshot) {
		changed = !roster.SameContent(next.Replicas, replicas) || !slices.Equal(next.Cordoned, cordoned)
		if changed {
			next.RosterVersion++
			next.Replicas = replicas
			next.Cordoned = cordoned
		}
		next.RosterAsOf = asOf
	})
	if changed {
		h.node.scheduler.CopyAges().AdoptList(replicas, h.node.clock())
	}
	h.node.endpoints.Publish(replicas, cordoned, asOf)
}

// PublishedRoster implements roster.Publisher.
func (h rosterHost) PublishedRoster() ([]discovery.Replica, []string, time.Time) {
	snapshot := h.node.publisher.Current()
	return snapshot.Replicas, snapshot.Cordoned, snapshot.RosterAsOf
}

// OtherControlPlanes implements roster.Cluster.
func (h rosterHost) OtherControlPlanes() []string { return h.node.members.PeerAddresses() }

// LeaseHolder implements roster.Cluster.
func (h rosterHost) LeaseHolder() string { return h.node.publisher.Current().LeaseHolder }

// OtherControlPlaneCount implements roster.Cluster.
func (h rosterHost) OtherControlPlaneCount() int {
	return len(h.node.publisher.Current().ControlPlanes) - 1
}
