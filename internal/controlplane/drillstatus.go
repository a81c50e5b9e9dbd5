package controlplane

import (
	"sync"

	"ferryspar/internal/drill"
)

// drillReports holds the last report of each data plane.
type drillReports struct {
	lock        sync.Mutex
	byDataPlane map[string]drill.Report
}

// recordDrillReport keeps a data plane's report, unless a later drill's is held.
func (n *Node) recordDrillReport(dataPlane string, report drill.Report) {
	n.drills.lock.Lock()
	defer n.drills.lock.Unlock()
	if n.drills.byDataPlane == nil {
		n.drills.byDataPlane = map[string]drill.Report{}
	}
	if report.Number >= n.drills.byDataPlane[dataPlane].Number {
		n.drills.byDataPlane[dataPlane] = report
	}
}

// reports are the reports of a drill, by data plane.
func (n *Node) drillReports(number uint64) map[string]drill.Report {
	n.drills.lock.Lock()
	defer n.drills.lock.Unlock()
	current := map[string]drill.Report{}
	for dataPlane, report := range n.drills.byDataPlane {
		if report.Number == number {
			current[dataPlane] = report
		}
	}
	return current
}

// drillReportList are the reports of a drill in any order.
func (n *Node) drillReportList(number uint64) []drill.Report {
	var list []drill.Report
	for _, report := range n.drillReports(number) {
		list = append(list, report)
	}
	return list
}

// drillStatus is a drill as the operator is told of it, by what this daemon knows.
func (n *Node) drillStatus(record drill.Record) drill.Status {
	view := n.publisher.Current().Drill
	status := drill.Status{Record: record, DataPlanes: map[string]string{}}
	if !record.Running {
		status.LeftMs = 0
		return status
	}
	if view.Number == record.Number {
		now := n.clock()
		status.LeftMs = max(view.Deadline.Sub(now), 0).Milliseconds()
		status.Running = view.IsRunning(now)
		if !status.Running {
			status.EndReason = drill.EndedByTime
			status.EndedByGuard = now.Before(view.Deadline)
		}
		if status.EndedByGuard {
			status.EndReason = drill.EndedWithoutRenewal
		}
	}
	for _, dataPlane := range n.dataPlanes.Known() {
		status.DataPlanes[dataPlane] = drill.DataPlaneSilent
	}
	for dataPlane, report := range n.drillReports(record.Number) {
		status.DataPlanes[dataPlane] = drill.DataPlaneFollows
		if report.Ended != "" {
			status.DataPlanes[dataPlane] = report.Ended
		}
	}
	status.Routes = drill.MergeReports(n.drillReportList(record.Number))
	return status
}
