package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/drill"
)

// drillView is a drill with its deadlines by this daemon's own clock.
type drillView struct {
	drill.Record
	// until is when the time asked for is up.
	until time.Time
	// lease is when the drill lapses without renewal.
	lease time.Time
}

// isRunning tells whether the drill goes on at the moment.
func (v drillView) isRunning(now time.Time) bool {
	return v.Running && now.Before(v.until) && now.Before(v.lease)
}

// notice is what a data plane that has reported so is told of the drill, or nil if there is nothing
// to tell.
func (v drillView) notice(report *drill.Report, now time.Time) *drill.Notice {
	if v.Number == 0 || !v.Running && report == nil {
		return nil
	}
	left := max(v.until.Sub(now), 0)
	return &drill.Notice{
		Number:  v.Number,
		Scope:   v.Scope,
		Share:   v.Share,
		LeftMs:  left.Milliseconds(),
		Running: v.isRunning(now),
	}
}

// drills holds the last report of each data plane.
type drills struct {
	lock    sync.Mutex
	reports map[string]drill.Report
}

// noteReport keeps a data plane's report, unless a later drill's is held.
func (d *Daemon) noteReport(edge string, report drill.Report) {
	d.drills.lock.Lock()
	defer d.drills.lock.Unlock()
	if d.drills.reports == nil {
		d.drills.reports = map[string]drill.Report{}
	}
	if report.Number >= d.drills.reports[edge].Number {
		d.drills.reports[edge] = report
	}
}

// reports are the reports of a drill, by data plane.
func (d *Daemon) reports(number uint64) map[string]drill.Report {
	d.drills.lock.Lock()
	defer d.drills.lock.Unlock()
	current := map[string]drill.Report{}
	for edge, report := range d.drills.reports {
		if report.Number == number {
			current[edge] = report
		}
	}
	return current
}

// reportList are the reports of a drill in any order.
func (d *Daemon) reportList(number uint64) []drill.Report {
	var list []drill.Report
	for _, report := range d.reports(number) {
		list = append(list, report)
	}
	return list
}

// drillStatus is a drill as the operator is told of it, by what this daemon knows.
func (d *Daemon) drillStatus(record drill.Record) drill.Status {
	view := d.publisher.Current().Drill
	status := drill.Status{Record: record, Edges: map[string]string{}}
	if !record.Running {
		status.LeftMs = 0
		return status
	}
	if view.Number == record.Number {
		now := d.clock()
		status.LeftMs = max(view.until.Sub(now), 0).Milliseconds()
		status.Running = view.isRunning(now)
		if !status.Running {
			status.Why = drill.EndedByTime
			status.Guard = now.Before(view.until)
		}
		if status.Guard {
			status.Why = drill.EndedWithoutRenewal
		}
	}
	for _, edge := range d.knownEdges() {
		status.Edges[edge] = drill.EdgeSilent
	}
	for edge, report := range d.reports(record.Number) {
		status.Edges[edge] = drill.EdgeFollows
		if report.Ended != "" {
			status.Edges[edge] = report.Ended
		}
	}
	status.Routes = drill.MergeReports(d.reportList(record.Number))
	return status
}
