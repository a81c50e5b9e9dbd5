package dataplane

import (
	"maps"
	"time"

	"ferryspar/internal/peer"
)

// peerLoads is the aggregated load of the other data planes. Only the goroutine of FleetState.Run uses it, except for reports.
type peerLoads struct {
	// reports are the responses to load reports, on their way to Run.
	reports chan reportedLoad
	// latest.Replicas is never modified in place, since snapshots share the map.
	latest     peer.FleetLoad
	receivedAt time.Time
	// bySubscription holds the loads received with endpoints, until the response to a load report that was sent later arrives.
	bySubscription map[string]subscribedLoad
}

// reportedLoad is the response to a load report sent at sentAt.
type reportedLoad struct {
	load   peer.FleetLoad
	sentAt time.Time
}

// subscribedLoad is the load of a replica that was received with a subscription's endpoints.
type subscribedLoad struct {
	load       peer.ReplicaLoad
	receivedAt time.Time
}

// adoptReport adopts the response to a load report. The response does not include replicas that were subscribed to after the
// report was sent. These keep the load received with the subscription; otherwise every data plane would consider a busy replica
// idle when it first learns of it.
func (p *peerLoads) adoptReport(reported reportedLoad, now time.Time) {
	load := reported.load
	for id, subscribed := range p.bySubscription {
		if subscribed.receivedAt.Before(reported.sentAt) {
			delete(p.bySubscription, id)
			continue
		}
		if _, known := load.Replicas[id]; !known {
			if load.Replicas == nil {
				load.Replicas = map[string]peer.ReplicaLoad{}
			}
			load.Replicas[id] = subscribed.load
		}
	}
	p.latest, p.receivedAt = load, now
}

// adoptSubscribed adopts the loads received with endpoints.
func (p *peerLoads) adoptSubscribed(loads map[string]peer.ReplicaLoad, now time.Time) {
	if len(loads) == 0 {
		return
	}
	replicas := maps.Clone(p.latest.Replicas)
	if replicas == nil {
		replicas = map[string]peer.ReplicaLoad{}
	}
	if p.bySubscription == nil {
		p.bySubscription = map[string]subscribedLoad{}
	}
	for id, load := range loads {
		replicas[id] = load
		p.bySubscription[id] = subscribedLoad{load: load, receivedAt: now}
	}
	p.latest.Replicas = replicas
	if p.receivedAt.IsZero() {
		p.receivedAt = now
	}
}
