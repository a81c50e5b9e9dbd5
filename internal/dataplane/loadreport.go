package dataplane

import (
	"context"
	"time"

	"ferryspar/internal/peer"
)

// loadReportInterval is the interval of load reports, in addition to those requested by the matcher.
const loadReportInterval = 300 * time.Millisecond

// reportLoad sends load reports to the primary until the context ends, and passes the responses, the load of the other data
// planes, to the state. Of consecutive empty reports only the first is sent.
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
		counts := n.usage.nextBatch()
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
		n.usage.handleReply(counts, reply)
		if fleetLoad, known := reply.Unpacked(endpoints); known {
			n.state.adoptFleetLoad(ctx, fleetLoad, sentAt)
		}
	}
}
