package drillcontrol

import (
	"sync"

	"ferryspar/internal/drill"
)

// reports holds the last report of each data plane. Its lock guards it.
type reports struct {
	lock        sync.Mutex
	byDataPlane map[string]drill.Report
}

func newReports() reports { return reports{byDataPlane: map[string]drill.Report{}} }

// record keeps a data plane's report, unless one of a later drill is kept.
func (r *reports) record(dataPlane string, report drill.Report) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if report.Number >= r.byDataPlane[dataPlane].Number {
		r.byDataPlane[dataPlane] = report
	}
}

// of returns the reports of a drill by data plane.
func (r *reports) of(number uint64) map[string]drill.Report {
	r.lock.Lock()
	defer r.lock.Unlock()
	current := map[string]drill.Report{}
	for dataPlane, report := range r.byDataPlane {
		if report.Number == number {
			current[dataPlane] = report
		}
	}
	return current
}

// listOf returns the reports of a drill in any order.
func (r *reports) listOf(number uint64) []drill.Report {
	var list []drill.Report
	for _, report := range r.of(number) {
		list = append(list, report)
	}
	return list
}
