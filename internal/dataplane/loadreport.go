package dataplane

import (
	"context"
	"time"

	"ferryspar/internal/peer"
)

// loadReportInterval is how often the load is reported, beside the times when the matcher asks for it.
const loadReportInterval = 300 * time.Millisecond

// reportLoad reports the load to the primary control-plane node, and hands the response, the load of the other data
// planes, to the state. An empty load is reported once.
func (n *Node) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	reportedEmpty := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.matcher.LoadReportDue:
		}
		primary := n.state.Primary()
		if primary == "" {
			continue
		}
		report := n.matcher.LoadReport(ctx)
		report.DataPlane = n.settings.NodeName
		endpoints := n.state.endpointIDs()
		counts := n.usage.next()
		report.Usage = counts.Entries
		empty := len(report.Models) == 0 && len(report.Replicas) == 0 && len(report.Usage) == 0
		if empty && reportedEmpty && n.usage.knowsTimeOfDay() {
			continue
		}
		reportedEmpty = empty
		report.Endpoints = endpoints.Digest
		sentAt := n.state.clock()
		var reply peer.FleetLoad
		if n.peers.Call(ctx, peer.MethodReportLoad, primary, report, &reply) != nil {
			continue
		}
		n.usage.adopt(counts, reply)
		if fleetLoad, known := reply.Unpacked(endpoints); known {
			n.state.adoptFleetLoad(ctx, fleetLoad, sentAt)
		}
	}
}
