package dataplane

import (
	"sync/atomic"

	"ferryspar/internal/peer"
)

// watchPosition is what polls acknowledge: how far the control plane's state has been adopted here. The goroutine that
// adopts a part stores it once it is in use; any goroutine may load it.
type watchPosition struct {
	// revision is that of the configuration, 0 before the first.
	revision atomic.Int64
	// takesDifferences says that it may be followed by differences.
	takesDifferences atomic.Bool
	// zoneVersion is the sum of the versions of all zones' evacuation.
	zoneVersion atomic.Uint64
	// contextVersion and appliedForget are those of the context rules and of the last forget order in force in the ledger.
	contextVersion atomic.Uint64
	appliedForget  atomic.Uint64
	// draining says that this node is shutting down.
	draining atomic.Bool
	// primary is the address that endpoints are followed at, or empty.
	primary atomic.Pointer[string]
	// subscription is what is followed there.
	subscription atomic.Pointer[subscription]
}

// subscription says which endpoints are known from which incarnation of a control-plane node.
type subscription struct {
	address     string
	incarnation string
	// sequence is that of the last subscribe request that was answered.
	sequence uint64
	// rosterVersion is that of the newest endpoint sets received by subscribing, see peer.WatchRequest.
	rosterVersion uint64
}

// init makes the pointers safe to load.
func (p *watchPosition) init() {
	nobody := ""
	p.primary.Store(&nobody)
	p.subscription.Store(&subscription{})
}

// fill writes the position into a poll of the address. It leaves what the poll acknowledges of the address itself as it is,
// but for endpoints that a subscription has brought since.
func (p *watchPosition) fill(request *peer.WatchRequest, address string) {
	request.Revision = p.revision.Load()
	request.AcceptsDeltas = p.takesDifferences.Load()
	request.Linearizable = request.Revision == 0
	request.ZoneVersion = p.zoneVersion.Load()
	request.ContextVersion = p.contextVersion.Load()
	request.AppliedPurge = p.appliedForget.Load()
	request.Leaving = p.draining.Load()
	primary := *p.primary.Load()
	request.Primary = primary == "" || primary == address
	request.SubscriptionSequence = 0
	subscribed := p.subscription.Load()
	if subscribed.address != address {
		return
	}
	request.SubscriptionSequence = subscribed.sequence
	if subscribed.incarnation == request.Incarnation {
		request.RosterVersion = max(request.RosterVersion, subscribed.rosterVersion)
	}
}
