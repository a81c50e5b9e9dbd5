package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/drill"
)

// routeRecord holds a drill's counts for one route, separately for drilled requests and the rest, with the
// times to their first event in ms.
type routeRecord struct {
	counts       drill.DataPlaneRouteOutcomes
	firstDrilled *hdrhistogram.Histogram
	firstRest    *hdrhistogram.Histogram
}

// updateRoute applies a change to the record of the request's route.
func (d *Drill) updateRoute(request *Request, change func(record *routeRecord)) {
	d.lock.Lock()
	defer d.lock.Unlock()
	record := d.routes[request.Route]
	if record == nil {
		record = &routeRecord{firstDrilled: drill.NewHistogram(), firstRest: drill.NewHistogram()}
		d.routes[request.Route] = record
	}
	change(record)
}

// countersFor returns the counters that a request belongs to.
func (r *routeRecord) countersFor(request *Request) (*drill.OutcomeCounts, *hdrhistogram.Histogram) {
	if request.underDrill && !request.onlyCopyLost {
		return &r.counts.Drilled, r.firstDrilled
	}
	return &r.counts.Rest, r.firstRest
}

// recordFirstEvent counts the first event of a request. Resumed requests are not counted, since they had theirs before.
func (d *Drill) recordFirstEvent(request *Request, at time.Time) {
	if request.Resumed {
		return
	}
	d.updateRoute(request, func(record *routeRecord) {
		counts, times := record.countersFor(request)
		duration := at.Sub(request.ArrivedAt)
		drill.RecordLatency(times, float64(duration.Microseconds())/1000)
		if duration <= request.latencyTargetOrTimeout() {
			counts.WithinTarget++
		} else {
			counts.Late++
		}
	})
}

// latencyTargetOrTimeout returns the time within which a first event counts as in time: the route's latency
// target, or the time to the deadline if the route has none.
func (r *Request) latencyTargetOrTimeout() time.Duration {
	if r.LatencyTarget > 0 {
		return r.LatencyTarget
	}
	return r.Deadline.Sub(r.ArrivedAt)
}

// recordRejection counts a request that was rejected.
func (d *Drill) recordRejection(request *Request) {
	d.updateRoute(request, func(record *routeRecord) {
		counts, _ := record.countersFor(request)
		counts.Rejected++
	})
}

// recordTruncation counts a request whose answer was truncated.
func (d *Drill) recordTruncation(request *Request) {
	d.updateRoute(request, func(record *routeRecord) {
		counts, _ := record.countersFor(request)
		counts.Aborted++
	})
}

// reportTTL is how long a report is reused.
const reportTTL = 400 * time.Millisecond

// Report returns the drill's counts, with the reason why it ended, if it has. The caller must not modify it.
func (d *Drill) Report(ended string, now time.Time) *drill.Report {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.lastReport != nil && d.lastReport.EndReason == ended && now.Sub(d.lastReportAt) < reportTTL {
		return d.lastReport
	}
	report := &drill.Report{Number: d.Number, EndReason: ended, Routes: map[string]drill.DataPlaneRouteOutcomes{}}
	for name, record := range d.routes {
		counts := record.counts
		counts.FirstTokenDrilled = drill.EncodeHistogram(record.firstDrilled)
		counts.FirstTokenRest = drill.EncodeHistogram(record.firstRest)
		report.Routes[name] = counts
	}
	d.lastReport = report
	d.lastReportAt = now
	return report
}
