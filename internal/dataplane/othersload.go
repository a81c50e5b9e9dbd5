package dataplane

import (
	"maps"
	"time"

	"ferryspar/internal/peer"
)

// othersLoad is the summed load of the other data planes. It belongs to the goroutine of FleetState.Run, but for reports.
type othersLoad struct {
	// reports are those on their way to Run.
	reports chan reportedLoad
	// latest is replaced as a whole, since snapshots share its map.
	latest     peer.FleetLoad
	receivedAt time.Time
	// bySubscription holds the loads that came with endpoints, until a report that was sent later has been answered.
	bySubscription map[string]subscribedLoad
}

// reportedLoad answers a load report that was sent at a moment.
type reportedLoad struct {
	load   peer.FleetLoad
	sentAt time.Time
}

// subscribedLoad is the load on a replica that came with a subscription's endpoints.
type subscribedLoad struct {
	load       peer.ReplicaLoad
	receivedAt time.Time
}

// adoptReport adopts the answer to a load report. Replicas that were subscribed to after the report was sent are not in
// it: they keep the load that came with them, or every data plane would take a busy replica that is new to it for idle.
func (o *othersLoad) adoptReport(reported reportedLoad, now time.Time) {
	load := reported.load
	for id, subscribed := range o.bySubscription {
		if subscribed.receivedAt.Before(reported.sentAt) {
			delete(o.bySubscription, id)
			continue
		}
		if _, known := load.Replicas[id]; !known {
			if load.Replicas == nil {
				load.Replicas = map[string]peer.ReplicaLoad{}
			}
			load.Replicas[id] = subscribed.load
		}
	}
	o.latest, o.receivedAt = load, now
}

// adoptSubscribed adopts the loads that came with endpoints.
func (o *othersLoad) adoptSubscribed(loads map[string]peer.ReplicaLoad, now time.Time) {
	if len(loads) == 0 {
		return
	}
	replicas := maps.Clone(o.latest.Replicas)
	if replicas == nil {
		replicas = map[string]peer.ReplicaLoad{}
	}
	if o.bySubscription == nil {
		o.bySubscription = map[string]subscribedLoad{}
	}
	for id, load := range loads {
		replicas[id] = load
		o.bySubscription[id] = subscribedLoad{load: load, receivedAt: now}
	}
	o.latest.Replicas = replicas
	if o.receivedAt.IsZero() {
		o.receivedAt = now
	}
}
