package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
)

const (
	// dataPlaneTimeout is how long a data plane may be silent during a drill.
	dataPlaneTimeout = 3 * time.Second
	// guardWriteTimeout bounds one write of the guard.
	guardWriteTimeout = 1200 * time.Millisecond
)

// baseline is what was alive when this daemon began to guard a drill.
type baseline struct {
	number     uint64
	dataPlanes []string
	members    []string
	replicas   []string
	renewedAt  time.Time
	// takenOver is set if another holder has renewed the drill before.
	takenOver bool
}

// runDrillGuard guards the running drill while this daemon holds the placement lease: it renews the
// drill, or ends it when its time is up or something real happens.
func (n *Node) runDrillGuard(ctx context.Context) {
	ticker := time.NewTicker(drillCheckInterval)
	defer ticker.Stop()
	var base *baseline
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := n.publisher.Current()
		if !snapshot.Drill.Running || !n.scheduler.Lease().Holds() {
			base = nil
			continue
		}
		now := n.clock()
		if base == nil || base.number != snapshot.Drill.Number {
			base = n.newBaseline(snapshot, now)
		}
		if reason, guard := n.checkDrillGuard(base, snapshot, now); reason != "" {
			bounded, cancel := context.WithTimeout(ctx, guardWriteTimeout)
			_, _ = n.endDrill(bounded, base.number, reason, guard)
			cancel()
			continue
		}
		if now.Sub(base.renewedAt) >= drillRenewInterval {
			base.renewedAt = now
			n.renewDrill(ctx, snapshot.Drill, now)
		}
	}
}

// renewDrill stores that the drill goes on, with the time left.
func (n *Node) renewDrill(ctx context.Context, state drill.State, now time.Time) {
	bounded, cancel := context.WithTimeout(ctx, guardWriteTimeout)
	defer cancel()
	_ = n.changeKey(bounded, keystore.DrillKey, func(current keystore.Register) (any, error) {
		var record drill.Record
		_ = json.Unmarshal(current.Value, &record)
		if !record.Running || record.Number != state.Number {
			return nil, errUnchanged
		}
		return record.Renew(state.Deadline.Sub(now)), nil
	})
}

// baseline notes which data planes, members and replicas are alive now.
func (n *Node) newBaseline(snapshot *watch.Snapshot, now time.Time) *baseline {
	base := &baseline{number: snapshot.Drill.Number, takenOver: snapshot.Drill.Renewals > 0}
	base.dataPlanes = n.dataPlanes.Live(now, dataPlaneTimeout)
	for _, member := range n.store.Membership().Current {
		if member != n.self {
			base.members = append(base.members, member)
		}
	}
	for _, replica := range snapshot.Replicas {
		if replica.State != discovery.Draining && !n.scheduler.Demand().IsSuspected(replica.ID) {
			base.replicas = append(base.replicas, replica.ID)
		}
	}
	return base
}

// guard says why the drill must end now, or nothing, and whether the guard ends it rather than its
// own time.
func (n *Node) checkDrillGuard(base *baseline, snapshot *watch.Snapshot, now time.Time) (string, bool) {
	view := snapshot.Drill
	if !now.Before(view.Deadline) {
		return drill.EndedByTime, false
	}
	if !now.Before(view.LeaseExpiresAt) {
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
	if lost := n.lossSince(base, snapshot, now); lost != "" {
		return "a real loss takes precedence: " + lost, true
	}
	for dataPlane, report := range n.drillReports(view.Number) {
		if report.Ended != "" && report.Ended != drill.EndedByTime {
			return "edge " + dataPlane + " ended it: " + report.Ended, true
		}
	}
	reason := drill.CheckGuard(view.Record, drill.MergeOutcomes(n.drillReportList(view.Number)))
	return reason, reason != ""
}

// lossSince says what was lost since the baseline, or nothing.
func (n *Node) lossSince(base *baseline, snapshot *watch.Snapshot, now time.Time) string {
	if silent := n.silentSince(base, now); silent != "" {
		return silent
	}
	present := map[string]bool{}
	for _, replica := range snapshot.Replicas {
		present[replica.ID] = replica.State != discovery.Draining
	}
	for _, id := range base.replicas {
		if !present[id] {
			return "replica " + id + " is gone"
		}
		if n.scheduler.Demand().IsSuspected(id) {
			return "replica " + id + " does not answer"
		}
	}
	return ""
}

// silentSince says which data plane or member has fallen silent, or nothing.
func (n *Node) silentSince(base *baseline, now time.Time) string {
	if silent := n.dataPlanes.Silent(base.dataPlanes, now, dataPlaneTimeout); silent != "" {
		return "edge " + silent + " is silent"
	}
	if silent := n.members.Silent(base.members, now); silent != "" {
		return "member " + silent + " is silent"
	}
	return ""
}
