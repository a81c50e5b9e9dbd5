package drillcontrol

import (
	"sync"

	"ferryspar/internal/drill"
)

// reports holds the last report of each data plane. Its lock guards all fields.
type reports struct {
	lock        sync.Mutex
	byDataPlane map[string]drill.Report
}

func newReports() reports { return reports{byDataPlane: map[string]drill.Report{}} }

// record stores a data plane's report, unless the stored one is of a later drill.
func (r *reports) record(dataPlane string, report drill.Report) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if report.Number >= r.byDataPlane[dataPlane].Number {
		r.byDataPlane[dataPlane] = report
	}
}

// ofDrill returns the reports ofDrill a drill by data plane.
func (r *reports) ofDrill(number uint64) map[string]drill.Report {
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

// listOfDrill returns the reports of a drill in no particular order.
func (r *reports) listOfDrill(number uint64) []drill.Report {
	var list []drill.Report
	for _, report := range r.ofDrill(number) {
		list = append(list, report)
	}
	return list
}
