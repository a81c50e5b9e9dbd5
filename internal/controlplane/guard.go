package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
	"ferryspar/internal/platform"
)

const (
	// edgeSilent is how long a data plane may be silent during a drill.
	edgeSilent = 3 * time.Second
	// guardBound bounds one write of the guard.
	guardBound = 1200 * time.Millisecond
)

// baseline is what was alive when this daemon began to guard a drill.
type baseline struct {
	number    uint64
	edges     []string
	members   []string
	replicas  []string
	renewedAt time.Time
	// takenOver is set if another holder has renewed the drill before.
	takenOver bool
}

// drillLoop guards the running drill while this daemon holds the placement lease: it renews the
// drill, or ends it when its time is up or something real happens.
func (d *Daemon) drillLoop(ctx context.Context) {
	ticker := time.NewTicker(drillEvery)
	defer ticker.Stop()
	var base *baseline
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := d.publisher.Current()
		if !snapshot.Drill.Running || !d.scheduler.Holding() {
			base = nil
			continue
		}
		now := d.clock()
		if base == nil || base.number != snapshot.Drill.Number {
			base = d.baseline(snapshot, now)
		}
		if why, guard := d.guard(base, snapshot, now); why != "" {
			bounded, cancel := context.WithTimeout(ctx, guardBound)
			_, _ = d.finishDrill(bounded, base.number, why, guard)
			cancel()
			continue
		}
		if now.Sub(base.renewedAt) >= drillRenewEvery {
			base.renewedAt = now
			d.renewDrill(ctx, snapshot.Drill, now)
		}
	}
}

// renewDrill stores that the drill goes on, with the time left.
func (d *Daemon) renewDrill(ctx context.Context, view drillView, now time.Time) {
	bounded, cancel := context.WithTimeout(ctx, guardBound)
	defer cancel()
	_ = d.changeContext(bounded, keystore.DrillKey, func(current keystore.Register) (any, error) {
		var held drill.Record
		_ = json.Unmarshal(current.Value, &held)
		if !held.Running || held.Number != view.Number {
			return nil, errUnchanged
		}
		return held.Renew(view.until.Sub(now)), nil
	})
}

// baseline notes which data planes, members and replicas are alive now.
func (d *Daemon) baseline(snapshot *Snapshot, now time.Time) *baseline {
	base := &baseline{number: snapshot.Drill.Number, takenOver: snapshot.Drill.Beat > 0}
	d.watching.Lock()
	base.edges = d.edges.Live(now, edgeSilent)
	for _, member := range d.store.Membership().Current {
		if member != d.self {
			base.members = append(base.members, member)
		}
	}
	d.watching.Unlock()
	for _, one := range snapshot.Replicas {
		if one.State != platform.Draining && !d.scheduler.suspects(one.ID) {
			base.replicas = append(base.replicas, one.ID)
		}
	}
	return base
}

// guard says why the drill must end now, or nothing, and whether the guard ends it rather than its
// own time.
func (d *Daemon) guard(base *baseline, snapshot *Snapshot, now time.Time) (string, bool) {
	view := snapshot.Drill
	if !now.Before(view.until) {
		return drill.EndedByTime, false
	}
	if !now.Before(view.lease) {
		return drill.EndedWithoutRenewal, true
	}
	for zone, state := range snapshot.Zones {
		if state.Drained {
			return drill.EndedByEvacuation + ": zone " + zone, true
		}
	}
	if base.takenOver {
		return "a real loss takes precedence: the duty to place has moved", true
	}
	if lost := d.lossSince(base, snapshot, now); lost != "" {
		return "a real loss takes precedence: " + lost, true
	}
	for edge, report := range d.reports(view.Number) {
		if report.Ended != "" && report.Ended != drill.EndedByTime {
			return "edge " + edge + " ended it: " + report.Ended, true
		}
	}
	why := drill.CheckGuard(view.Record, drill.MergeTallies(d.reportList(view.Number)))
	return why, why != ""
}

// lossSince says what was lost since the baseline, or nothing.
func (d *Daemon) lossSince(base *baseline, snapshot *Snapshot, now time.Time) string {
	if silent := d.silentSince(base, now); silent != "" {
		return silent
	}
	present := map[string]bool{}
	for _, one := range snapshot.Replicas {
		present[one.ID] = one.State != platform.Draining
	}
	for _, id := range base.replicas {
		if !present[id] {
			return "replica " + id + " is gone"
		}
		if d.scheduler.suspects(id) {
			return "replica " + id + " does not answer"
		}
	}
	return ""
}

// silentSince says which data plane or member has fallen silent, or nothing.
func (d *Daemon) silentSince(base *baseline, now time.Time) string {
	d.watching.Lock()
	defer d.watching.Unlock()
	for _, edge := range base.edges {
		if !d.remembered[edge].Left && now.Sub(d.edges.LastReport(edge)) > edgeSilent {
			return "edge " + edge + " is silent"
		}
	}
	for _, member := range base.members {
		if d.store.Membership().IsCurrent(member) && now.Sub(d.controls.LastReport(member)) > membership.SuspectAfter {
			return "member " + member + " is silent"
		}
	}
	return ""
}
