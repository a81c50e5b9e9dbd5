package dataplane

import (
	"context"
	"time"

	"ferryspar/internal/peer"
)

// subscriptions holds the state of subscribe requests, of which at most one is pending. Only the goroutine of FleetState.Run uses
// it, except for results.
type subscriptions struct {
	// pending is set while a request has no result yet.
	pending bool
	results chan subscribeResult
}

// subscribeResult is the result of a subscribe request.
type subscribeResult struct {
	address    string
	request    peer.SubscribeRequest
	response   peer.SubscribeResponse
	sentAt     time.Time
	receivedAt time.Time
	// err is set if there is no response.
	err error
}

// fresh reports whether there is a response and its confirmation by a majority has not expired.
func (r *subscribeResult) fresh() bool {
	return r.err == nil && r.response.IsFresh(r.sentAt, r.receivedAt)
}

// subscribe subscribes to the endpoints of newly requested models at the primary, or to those of all models if the subscription
// there is not complete. At most one request is pending.
func (s *FleetState) subscribe(ctx context.Context, peers *peer.Client) {
	address := s.Primary()
	control := s.controlPeers.byAddress[address]
	if control == nil || s.subscriptions.pending {
		return
	}
	request := peer.SubscribeRequest{
		DataPlane: s.settings.NodeName,
		Sequence:  control.subscriptionSequence + 1,
	}
	if control.complete {
		request.Add, request.Remove = s.interest.takeChanges()
		if len(request.Add) == 0 {
			return
		}
	} else {
		request.Reset = true
		request.Add = s.interest.all()
	}
	control.subscriptionSequence++
	s.subscriptions.pending = true
	s.calls.Go(func() { s.sendSubscribe(ctx, peers, address, request) })
}

// sendSubscribe sends a subscribe request and passes the result to Run.
func (s *FleetState) sendSubscribe(ctx context.Context, peers *peer.Client, address string, request peer.SubscribeRequest) {
	result := subscribeResult{address: address, request: request, sentAt: s.clock()}
	result.err = peers.Call(ctx, peer.MethodSubscribe, address, request, &result.response)
	result.receivedAt = s.clock()
	select {
	case s.subscriptions.results <- result:
	case <-ctx.Done():
	}
}

// handleSubscribeResult adopts the endpoints of a response and reports whether the snapshot changes. After a failure the next
// request resubscribes to everything.
func (s *FleetState) handleSubscribeResult(result *subscribeResult) bool {
	s.subscriptions.pending = false
	control := s.controlPeers.byAddress[result.address]
	request, response := &result.request, &result.response
	if response.Resubscribe || !result.fresh() {
		control.complete = false
		return false
	}
	control.resetOnRestart(response.Incarnation)
	if request.Reset {
		control.complete = true
		control.retainOnly(request.Add)
	}
	s.acknowledgeSubscription(result)
	for _, name := range request.Remove {
		delete(control.endpointSets, name)
	}
	if len(request.Remove) > 0 && result.address == s.endpoints.source {
		s.endpoints.rebuild(control)
	}
	control.fetchedAt = fetchedAt(result.receivedAt, response.RosterAgeMs)
	s.peerLoads.adoptSubscribed(response.Loads, result.receivedAt)
	return s.endpoints.adopt(result.address, control, control.merge(response.EndpointSets))
}

// acknowledgeSubscription makes subsequent polls acknowledge the subscription.
func (s *FleetState) acknowledgeSubscription(result *subscribeResult) {
	followed := *s.position.subscription.Load()
	followed.sequence = result.request.Sequence
	if result.request.Reset {
		followed.address = result.address
		followed.incarnation = result.response.Incarnation
		followed.rosterVersion = result.response.RosterVersion
	}
	s.position.subscription.Store(&followed)
}

// subscriptionComplete reports whether the address is the primary's and all endpoints subscribed to there have been received.
func (s *FleetState) subscriptionComplete(address string) bool {
	control := s.controlPeers.byAddress[address]
	return control != nil && control.complete && address == s.Primary()
}

// handleEndpointSets adopts the endpoint sets of a response to a poll and reports whether the snapshot changes.
func (s *FleetState) handleEndpointSets(control *controlPeer, result *watchResult) bool {
	response := &result.response
	control.resetOnRestart(response.Incarnation)
	if response.Resubscribe {
		control.complete = false
	}
	if !result.fresh() {
		return false
	}
	control.fetchedAt = fetchedAt(result.receivedAt, response.RosterAgeMs)
	if result.address != s.Primary() {
		control.complete = false
	}
	return s.endpoints.adopt(result.address, control, control.merge(response.EndpointSets))
}

// fetchedAt returns when a list of replicas was read from the platform, given its age in milliseconds when the response was
// received.
func fetchedAt(receivedAt time.Time, ageMs int64) time.Time {
	return receivedAt.Add(-time.Duration(ageMs) * time.Millisecond)
}
