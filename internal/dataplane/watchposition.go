package dataplane

import (
	"sync/atomic"

	"ferryspar/internal/peer"
)

// watchPosition is the state that polls acknowledge: how far this data plane has adopted the control plane's state. The goroutine
// that adopts a part stores its version after the part is in use; any goroutine may load it.
type watchPosition struct {
	// revision is the revision of the configuration, or 0 before the first.
	revision atomic.Int64
	// takesDifferences is set if the next configuration may be sent as a delta.
	takesDifferences atomic.Bool
	// zoneVersion is the sum of the versions of all zones' states.
	zoneVersion atomic.Uint64
	// contextVersion is the version of the context rules applied to the ledger, appliedForget the number of the last forget order
	// applied.
	contextVersion atomic.Uint64
	appliedForget  atomic.Uint64
	// draining is set once this node is shutting down.
	draining atomic.Bool
	// primary is the address of the primary, or empty.
	primary atomic.Pointer[string]
	// subscription is the last subscription acknowledged.
	subscription atomic.Pointer[subscription]
}

// subscription identifies the endpoints received from an incarnation of a control-plane node.
type subscription struct {
	address     string
	incarnation string
	// sequence is the number of the last subscribe request that received a response.
	sequence uint64
	// rosterVersion is the version of the newest endpoint sets received by subscribing, see peer.WatchRequest.
	rosterVersion uint64
}

// init stores initial values, so that the pointers are never nil.
func (p *watchPosition) init() {
	none := ""
	p.primary.Store(&none)
	p.subscription.Store(&subscription{})
}

// fill writes the position into a poll of the address. Of the fields specific to that node it changes only those that acknowledge
// a subscription.
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
