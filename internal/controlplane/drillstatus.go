package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/drill"
)

// drillState is a drill with its deadlines by this daemon's own clock.
type drillState struct {
	drill.Record
	// until is when the time asked for is up.
	deadline time.Time
	// lease is when the drill lapses without renewal.
	leaseExpiresAt time.Time
}

// isRunning tells whether the drill goes on at the moment.
func (v drillState) isRunning(now time.Time) bool {
	return v.Running && now.Before(v.deadline) && now.Before(v.leaseExpiresAt)
}

// notice is what a data plane that has reported so is told of the drill, or nil if there is nothing
// to tell.
func (v drillState) notice(report *drill.Report, now time.Time) *drill.Notice {
	if v.Number == 0 || !v.Running && report == nil {
		return nil
	}
	remaining := max(v.deadline.Sub(now), 0)
	return &drill.Notice{
		Number:  v.Number,
		Scope:   v.Scope,
		Share:   v.Share,
		LeftMs:  remaining.Milliseconds(),
		Running: v.isRunning(now),
	}
}

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
		status.LeftMs = max(view.deadline.Sub(now), 0).Milliseconds()
		status.Running = view.isRunning(now)
		if !status.Running {
			status.EndReason = drill.EndedByTime
			status.EndedByGuard = now.Before(view.deadline)
		}
		if status.EndedByGuard {
			status.EndReason = drill.EndedWithoutRenewal
		}
	}
	for _, dataPlane := range n.knownDataPlanes() {
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
