package controlplane

import (
	"context"
	"maps"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// Demand is this daemon's share of the demand, for the placement holder: arrivals since the last
// one or, if there are any, some that it may not have heard; and what waits and runs now. A partial share holds only models that are newly waited for.
func (a *LoadAggregator) DemandSummary(member string, partial bool) peer.LoadSummary {
	a.lock.Lock()
	defer a.lock.Unlock()
	summary := peer.LoadSummary{Member: member, DataPlaneCount: len(a.reports), IsDemand: true, Partial: partial}
	included := func(key string) bool { return !partial || a.newlyWaiting[key] }
	batch := arrivalBatch{}
	if !partial {
		batch = a.arrivals.nextResend()
	}
	if batch.number == 0 {
		batch = a.arrivals.nextBatch(included)
	}
	summary.Batch = batch.number
	models := make(map[string]peer.ModelLoad, len(batch.models))
	maps.Copy(models, batch.models)
	waiting := map[string]bool{}
	for _, report := range a.reports {
		for _, model := range report.load.Models {
			key := placement.ModelKey(model.Backend, model.Model)
			if model.Waiting > 0 {
				waiting[key] = true
			}
			if !included(key) {
				continue
			}
			sum := models[key]
			sum.Waiting += model.Waiting
			sum.Running += model.Running
			sum.LatencyTargetMs = max(sum.LatencyTargetMs, model.LatencyTargetMs)
			sum.OldestWaitMs = max(sum.OldestWaitMs, model.OldestWaitMs)
			models[key] = sum
		}
	}
	a.waiting = waiting
	clear(a.newlyWaiting)
	for key, model := range models {
		model.Backend, model.Model = placement.SplitModelKey(key)
		summary.Models = append(summary.Models, model)
	}
	if !partial {
		summary.SuspectCounts = make(map[string]int, len(a.suspects))
		for id, count := range a.suspects {
			summary.SuspectCounts[id] = count
		}
	}
	return summary
}

// delivered notes that a share was heard.
func (a *LoadAggregator) markDelivered(summary peer.LoadSummary) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.arrivals.resolve(summary.Batch, true)
}

// restore has the arrivals of a share that may not have been delivered sent again, under their number.
func (a *LoadAggregator) markUncertain(summary peer.LoadSummary) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.arrivals.resolve(summary.Batch, false)
	for _, model := range summary.Models {
		delete(a.waiting, placement.ModelKey(model.Backend, model.Model))
	}
}

// handleLoadReport takes in a data plane's load and answers with the other data planes' load at the
// replicas that it follows.
func (n *Node) handleLoadReport(ctx context.Context, report peer.LoadReport) peer.FleetLoad {
	n.loads.AddReport(report, n.clock())
	return n.loads.FleetLoadFor(report.DataPlane, n.endpoints.SubscribedReplicas(report.DataPlane))
}

// handleLoadSummary takes in another control plane's sums. It answers Unknown if they came packed by a list
// of replicas that is not the one held here; the sender then names them.
func (n *Node) handleLoadSummary(ctx context.Context, summary peer.LoadSummary) peer.LoadSummaryReply {
	now := n.clock()
	if summary.Packed != nil {
		loads, known := n.dense.unpack(summary.Packed, n.roster.Replicas())
		if !known {
			return peer.LoadSummaryReply{UnknownVersion: true}
		}
		for id, load := range summary.Replicas {
			sum := loads[id]
			sum.Outcomes = load.Outcomes
			loads[id] = sum
		}
		summary.Replicas = loads
	}
	if summary.Replicas != nil {
		n.loads.AddSummary(summary, now)
	}
	if summary.IsDemand {
		n.scheduler.handleDemand(summary)
	}
	return peer.LoadSummaryReply{}
}
