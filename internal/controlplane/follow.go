package controlplane

import (
	"context"
	"time"

	"ferryspar/internal/peer"
)

type subscription struct {
	keys     map[peer.EndpointKey]bool
	sequence uint64
	lastSeen time.Time
	wake     chan struct{}
}

func (s *subscription) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

const (
	subscriptionTTL   = 20 * time.Second
	maxSubscribedKeys = 4096
)

// Follow notes which parts a data plane follows and answers with those it adds. A question that does
// not continue the last one heard is answered with the request to begin anew.
func (p *EndpointPublisher) Subscribe(request peer.SubscribeRequest, now time.Time) peer.SubscribeResponse {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.removeExpired(now)
	subscriber := p.subscriptions[request.DataPlane]
	switch {
	case request.Reset:
		if subscriber != nil {
			p.unsubscribeAll(subscriber)
		}
		subscriber = &subscription{keys: map[peer.EndpointKey]bool{}, wake: make(chan struct{}, 1)}
		p.subscriptions[request.DataPlane] = subscriber
	case subscriber == nil || subscriber.sequence+1 != request.Sequence:
		return peer.SubscribeResponse{Resubscribe: true, RosterVersion: p.version}
	}
	subscriber.sequence, subscriber.lastSeen = request.Sequence, now
	for _, key := range request.Remove {
		p.unsubscribe(subscriber, key)
	}
	response := peer.SubscribeResponse{RosterVersion: p.version}
	for _, key := range request.Add {
		if len(subscriber.keys) >= maxSubscribedKeys {
			break
		}
		subscriber.keys[key] = true
		if p.subscribers[key] == nil {
			p.subscribers[key] = map[*subscription]bool{}
		}
		p.subscribers[key][subscriber] = true
		response.EndpointSets = append(response.EndpointSets, p.compose(key, now))
	}
	return response
}

func (p *EndpointPublisher) unsubscribeAll(subscriber *subscription) {
	for key := range subscriber.keys {
		p.unsubscribe(subscriber, key)
	}
}

func (p *EndpointPublisher) unsubscribe(subscriber *subscription, key peer.EndpointKey) {
	delete(subscriber.keys, key)
	delete(p.subscribers[key], subscriber)
	if len(p.subscribers[key]) == 0 {
		delete(p.subscribers, key)
	}
}

func (p *EndpointPublisher) removeExpired(now time.Time) {
	for dataPlane, subscriber := range p.subscriptions {
		if now.Sub(subscriber.lastSeen) > subscriptionTTL {
			p.unsubscribeAll(subscriber)
			delete(p.subscriptions, dataPlane)
		}
	}
}

// News lists the followed parts that changed since the poll's version, and says whether the data plane
// must name its parts anew.
func (p *EndpointPublisher) Changes(request peer.WatchRequest, incarnation string, now time.Time) (changed []peer.EndpointSet, version uint64, resubscribe bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	subscriber := p.subscriptions[request.DataPlane]
	if subscriber == nil || request.SubscriptionSequence == 0 || request.SubscriptionSequence > subscriber.sequence {
		if request.Incarnation != incarnation {
			request.RosterVersion = 0
		}
		return nil, request.RosterVersion, request.SubscriptionSequence > 0
	}
	subscriber.lastSeen = now
	if request.Incarnation == incarnation && request.RosterVersion >= p.version {
		return nil, p.version, false
	}
	for key := range subscriber.keys {
		if set := p.sets[key]; set != nil && (set.version > request.RosterVersion || request.Incarnation != incarnation) {
			changed = append(changed, p.compose(key, now))
		}
	}
	return changed, p.version, false
}

func (p *EndpointPublisher) wakeChannel(dataPlane string) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	if subscriber := p.subscriptions[dataPlane]; subscriber != nil {
		return subscriber.wake
	}
	return nil
}

// Followed names the replicas in the parts that a data plane follows.
func (p *EndpointPublisher) SubscribedReplicas(dataPlane string) map[string]bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	subscriber := p.subscriptions[dataPlane]
	if subscriber == nil {
		return nil
	}
	replicas := map[string]bool{}
	for key := range subscriber.keys {
		if set := p.sets[key]; set != nil {
			for id := range set.endpoints {
				replicas[id] = true
			}
		}
	}
	return replicas
}

func (n *Node) handleSubscribe(_ context.Context, request peer.SubscribeRequest) peer.SubscribeResponse {
	snapshot := n.publisher.Current()
	if !snapshot.IsFresh(n.clock()) || n.members.IsLeaving() {
		return peer.SubscribeResponse{Incarnation: n.incarnation}
	}
	response := n.endpoints.Subscribe(request, n.clock())
	now := n.clock()
	response.Incarnation, response.FreshMs = n.incarnation, snapshot.FreshFor(now).Milliseconds()
	response.RosterAgeMs = now.Sub(snapshot.RosterAsOf).Milliseconds()
	return response
}
