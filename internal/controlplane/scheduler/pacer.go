package scheduler

import "time"

const (
	// idlePlanInterval is the longest time between two plans.
	idlePlanInterval = 500 * time.Millisecond
	// planCostFactor is the ratio of the delay between two plans to the duration of the last plan, within minPlanDelay and
	// maxPlanDelay. It limits planning to a small share of a processor.
	planCostFactor = 40
	minPlanDelay   = 20 * time.Millisecond
	maxPlanDelay   = 300 * time.Millisecond
)

// planPacer decides when to plan. The planning loop alone uses it.
type planPacer struct {
	// dirty is set when something is learned of a replica that may call for a new plan.
	dirty bool
	// plannedVersion is the version of the published state used by the last plan.
	plannedVersion uint64
	plannedAt      time.Time
	planDuration   time.Duration
}

// markDirty requests a new plan.
func (p *planPacer) markDirty() { p.dirty = true }

// planDue reports whether to plan now: the delay since the last plan is over, and something has changed or idlePlanInterval has
// passed. It also clears the recorded changes, so the caller must plan if it returns true.
func (p *planPacer) planDue(demand *DemandView, version uint64, now time.Time) bool {
	since := now.Sub(p.plannedAt)
	if since < min(max(minPlanDelay, planCostFactor*p.planDuration), maxPlanDelay) {
		return false
	}
	changed := demand.takeChanged() || p.dirty || p.plannedVersion != version || since >= idlePlanInterval
	if changed {
		p.dirty, p.plannedVersion = false, version
	}
	return changed
}

// recordPlan records the start and end of a plan.
func (p *planPacer) recordPlan(startedAt, endedAt time.Time) {
	p.plannedAt = endedAt
	p.planDuration = endedAt.Sub(startedAt)
}
