package scheduler

import "time"

const (
	// idlePlanInterval is the longest time between two plans.
	idlePlanInterval = 500 * time.Millisecond
	// planCostFactor is how many times as long as the last plan took the next one waits, within minPlanPause and
	// maxPlanPause, so that planning takes a small share of a processor.
	planCostFactor = 40
	minPlanPause   = 20 * time.Millisecond
	maxPlanPause   = 300 * time.Millisecond
)

// planPacer decides when to plan. The planning loop alone uses it.
type planPacer struct {
	// dirty is set by what is learned of replicas and may call for a new plan.
	dirty bool
	// plannedVersion is the version of the published state that was planned for last.
	plannedVersion uint64
	plannedAt      time.Time
	planDuration   time.Duration
}

// markDirty has a plan made soon.
func (p *planPacer) markDirty() { p.dirty = true }

// planDue tells whether to plan now: something has changed and the last plan lies far enough back, or it lies very far back.
// What it calls for a plan by counts as planned for from then on, so the caller must plan if it returns true.
func (p *planPacer) planDue(demand *DemandView, version uint64, now time.Time) bool {
	since := now.Sub(p.plannedAt)
	if since < min(max(minPlanPause, planCostFactor*p.planDuration), maxPlanPause) {
		return false
	}
	changed := demand.takeChanged() || p.dirty || p.plannedVersion != version || since >= idlePlanInterval
	if changed {
		p.dirty, p.plannedVersion = false, version
	}
	return changed
}

// recordPlan records when a plan was begun and ended.
func (p *planPacer) recordPlan(startedAt, endedAt time.Time) {
	p.plannedAt = endedAt
	p.planDuration = endedAt.Sub(startedAt)
}
