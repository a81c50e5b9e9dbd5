package watch

import (
	"time"

	"ferryspar/internal/peer"
)

const (
	// subscriptionTTL is how long the subscriptions of a data plane are kept after its last request.
	subscriptionTTL = 20 * time.Second
	// maxSubscribedKeys is the largest number of sets to which one data plane can subscribe.
	maxSubscribedKeys = 4096
)

// subscription holds the endpoint sets that a data plane has subscribed to. The publisher's lock guards it.
type subscription struct {
	dataPlane string
	keys      map[peer.EndpointKey]bool
	// sequence is the sequence number of the last request that was applied.
	sequence uint64
	lastSeen time.Time
	// wake holds a value while a changed set is to be sent.
	wake chan struct{}
	// replicas caches the replicas in the sets, as of the publisher's version replicasVersion and the request with the sequence
	// number replicasSequence.
	replicas         peer.ReplicaIDs
	replicasVersion  uint64
	replicasSequence uint64
}

// notify wakes the data plane's pending watch request, or else its next one.
func (s *subscription) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Changes holds the changed endpoint sets that a data plane is to be sent.
type Changes struct {
	Sets []peer.EndpointSet
	// Version is the EndpointPublisher's version that the data plane has once it has applied the sets. On the wire it is the
	// RosterVersion, which is not the same as Snapshot.RosterVersion.
	Version uint64
	// Resubscribe requests that the data plane sends all its subscriptions again.
	Resubscribe bool
}

// Subscribe changes the sets that a data plane watches and returns the added ones. If the request's sequence number doesn't
// follow that of the last request, the response requests all subscriptions again.
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
		subscriber = &subscription{
			dataPlane: request.DataPlane,
			keys:      map[peer.EndpointKey]bool{},
			wake:      make(chan struct{}, 1),
		}
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
		p.subscribe(subscriber, key)
		response.EndpointSets = append(response.EndpointSets, p.endpointSetFor(key, subscriber.dataPlane, now))
	}
	return response
}

func (p *EndpointPublisher) subscribe(subscriber *subscription, key peer.EndpointKey) {
	subscriber.keys[key] = true
	if p.subscribers[key] == nil {
		p.subscribers[key] = map[*subscription]bool{}
	}
	p.subscribers[key][subscriber] = true
}

func (p *EndpointPublisher) unsubscribe(subscriber *subscription, key peer.EndpointKey) {
	delete(subscriber.keys, key)
	delete(p.subscribers[key], subscriber)
	if len(p.subscribers[key]) == 0 {
		delete(p.subscribers, key)
	}
}

func (p *EndpointPublisher) unsubscribeAll(subscriber *subscription) {
	for key := range subscriber.keys {
		p.unsubscribe(subscriber, key)
	}
}

// removeExpired removes the subscriptions of data planes from which nothing was received for subscriptionTTL.
func (p *EndpointPublisher) removeExpired(now time.Time) {
	for dataPlane, subscriber := range p.subscriptions {
		if now.Sub(subscriber.lastSeen) > subscriptionTTL {
			p.unsubscribeAll(subscriber)
			delete(p.subscriptions, dataPlane)
		}
	}
}

// Changes returns the sets that changed since the request's roster version, or all sets that the data plane has subscribed
// to if that version is from another incarnation. If this node hasn't received the data plane's subscriptions up to the
// request's sequence number, the result requests them again and keeps the request's version.
func (p *EndpointPublisher) Changes(request peer.WatchRequest, incarnation string, now time.Time) Changes {
	p.lock.Lock()
	defer p.lock.Unlock()
	knownVersion := request.RosterVersion
	sameIncarnation := request.Incarnation == incarnation
	if !sameIncarnation {
		knownVersion = 0
	}
	subscriber := p.subscriptions[request.DataPlane]
	if subscriber == nil || request.SubscriptionSequence == 0 || request.SubscriptionSequence > subscriber.sequence {
		return Changes{Version: knownVersion, Resubscribe: request.SubscriptionSequence > 0}
	}
	subscriber.lastSeen = now
	changes := Changes{Version: p.version}
	if sameIncarnation && knownVersion >= p.version {
		return changes
	}
	for key := range subscriber.keys {
		set := p.sets[key]
		if set != nil && (!sameIncarnation || set.versionFor(subscriber.dataPlane) > knownVersion) {
			changes.Sets = append(changes.Sets, p.endpointSetFor(key, subscriber.dataPlane, now))
		}
	}
	return changes
}

// wakeChannel returns the channel that receives a value when a set that the data plane has subscribed to changes. It
// returns nil, which blocks forever, if the data plane has no subscriptions.
func (p *EndpointPublisher) wakeChannel(dataPlane string) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	if subscriber := p.subscriptions[dataPlane]; subscriber != nil {
		return subscriber.wake
	}
	return nil
}

// SubscribedReplicas returns the replicas in the sets that a data plane has subscribed to, as they are sent to it, ordered by
// id. It returns none if the data plane has no subscriptions.
func (p *EndpointPublisher) SubscribedReplicas(dataPlane string) peer.ReplicaIDs {
	p.lock.Lock()
	defer p.lock.Unlock()
	subscriber := p.subscriptions[dataPlane]
	if subscriber == nil {
		return peer.ReplicaIDs{}
	}
	if subscriber.replicasSequence != subscriber.sequence || subscriber.replicasVersion != p.version {
		subscriber.replicas = p.replicasOf(subscriber)
		subscriber.replicasSequence, subscriber.replicasVersion = subscriber.sequence, p.version
	}
	return subscriber.replicas
}

// replicasOf returns the replicas in the sets of a subscription. The caller holds the lock.
func (p *EndpointPublisher) replicasOf(subscriber *subscription) peer.ReplicaIDs {
	replicas := map[string]bool{}
	for key := range subscriber.keys {
		if set := p.sets[key]; set != nil {
			for _, replica := range set.endpointsFor(subscriber.dataPlane) {
				replicas[replica.listed.ID] = true
			}
		}
	}
	return peer.SortedReplicaIDs(replicas)
}
