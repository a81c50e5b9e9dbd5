package drillcontrol

import (
	"context"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
)

const (
	// checkInterval is the interval at which the lease holder checks a running drill, renewInterval the interval
	// at which it renews it.
	checkInterval = 400 * time.Millisecond
	renewInterval = time.Second
	// dataPlaneTimeout is how long a data plane may be silent during a drill before it counts as lost.
	dataPlaneTimeout = 3 * time.Second
	// writeTimeout bounds one write of the guard.
	writeTimeout = 1200 * time.Millisecond
	// realLossPrefix is the prefix of the reason of a drill that ends because of a real loss.
	realLossPrefix = "a real loss takes precedence: "
)

// baseline records what was alive when this node began to guard a drill.
type baseline struct {
	number     uint64
	dataPlanes []string
	members    []string
	replicas   []string
	renewedAt  time.Time
	// isTakenOver is set if a previous lease holder has renewed the drill.
	isTakenOver bool
}

// Run guards the running drill while this node holds the placement lease, until ctx ends: it renews the
// drill, or ends it at its deadline or for a reason of guardReason.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var base *baseline
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state := c.node.State()
		if !state.Drill.Running || !c.node.HoldsLease() {
			base = nil
			continue
		}
		now := c.config.Clock()
		if base == nil || base.number != state.Drill.Number {
			base = c.newBaseline(state, now)
		}
		c.guard(ctx, base, state, now)
	}
}

// guard ends the drill if there is a reason to, else renews it if a renewal is due.
func (c *Controller) guard(ctx context.Context, base *baseline, state State, now time.Time) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if decision := c.decideEnd(base, state, now); decision.reason != "" {
		// If this fails, the next check ends the drill, on this node or on the next lease holder.
		_, _ = c.end(bounded, base.number, decision)
		return
	}
	if now.Sub(base.renewedAt) >= renewInterval {
		base.renewedAt = now
		c.renew(bounded, state.Drill, now)
	}
}

// renew stores a renewal of the drill with the remaining time. Errors are ignored: without a renewal the drill
// expires on all nodes after drill.LeaseDuration.
func (c *Controller) renew(ctx context.Context, state drill.State, now time.Time) {
	_ = c.store.ChangeDrill(ctx, func(current drill.Record) (drill.Record, error) {
		if !current.Running || current.Number != state.Number {
			return current, ErrUnchanged
		}
		return current.Renew(state.Deadline.Sub(now)), nil
	})
}

// newBaseline records which data planes, members and replicas are alive now.
func (c *Controller) newBaseline(state State, now time.Time) *baseline {
	base := &baseline{
		number:      state.Drill.Number,
		dataPlanes:  c.dataPlanes.Live(now, dataPlaneTimeout),
		isTakenOver: state.Drill.Renewals > 0,
	}
	for _, member := range c.node.Members() {
		if member != c.config.Self {
			base.members = append(base.members, member)
		}
	}
	for _, replica := range state.Replicas {
		if replica.State != discovery.StateDraining && !c.node.IsSuspected(replica.ID) {
			base.replicas = append(base.replicas, replica.ID)
		}
	}
	return base
}

// decideEnd returns why the drill must end now. The reason is empty if the drill continues.
func (c *Controller) decideEnd(base *baseline, state State, now time.Time) endDecision {
	current := state.Drill
	if !now.Before(current.Deadline) {
		return endDecision{reason: drill.EndedByTime}
	}
	return endDecision{reason: c.guardReason(base, state, now), byGuard: true}
}

// guardReason returns why a drill must end before its deadline, or "" if it need not.
func (c *Controller) guardReason(base *baseline, state State, now time.Time) string {
	current := state.Drill
	if !now.Before(current.LeaseExpiresAt) {
		return drill.EndedWithoutRenewal
	}
	if zone := state.evacuatedZone(); zone != "" {
		return drill.EndedByEvacuation + ": zone " + zone
	}
	if base.isTakenOver {
		return realLossPrefix + "the duty to place has moved"
	}
	if lost := c.lossSince(base, state, now); lost != "" {
		return realLossPrefix + lost
	}
	for dataPlane, report := range c.reports.ofDrill(current.Number) {
		if report.EndReason != "" && report.EndReason != drill.EndedByTime {
			return "edge " + dataPlane + " ended it: " + report.EndReason
		}
	}
	return drill.CheckGuard(current.Record, drill.MergeOutcomes(c.reports.listOfDrill(current.Number)))
}

// lossSince returns what was lost since the baseline, or "" if nothing was.
func (c *Controller) lossSince(base *baseline, state State, now time.Time) string {
	if silent := c.dataPlanes.Silent(base.dataPlanes, now, dataPlaneTimeout); silent != "" {
		return "edge " + silent + " is silent"
	}
	if silent := c.members.Silent(base.members, now); silent != "" {
		return "member " + silent + " is silent"
	}
	present := map[string]bool{}
	for _, replica := range state.Replicas {
		present[replica.ID] = replica.State != discovery.StateDraining
	}
	for _, id := range base.replicas {
		if !present[id] {
			return "replica " + id + " is gone"
		}
		if c.node.IsSuspected(id) {
			return "replica " + id + " does not answer"
		}
	}
	return ""
}
