package controlplane

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

const (
	idlePlanInterval = 500 * time.Millisecond
	minPlanPause     = 20 * time.Millisecond
	maxPlanPause     = 300 * time.Millisecond
	planCostFactor   = 40
	publishInterval  = 50 * time.Millisecond
)

type planInputs struct {
	aggregator     *demand.DemandAggregator
	receivedRates  map[string]peer.Rate
	catalog        *placement.Catalog
	sortedIDs      []string
	adoptedList    *discovery.Replica
	dirty          bool
	plannedVersion uint64
	plannedAt      time.Time
	planDuration   time.Duration
	unpublished    bool
	publishedAt    time.Time
}

func (s *Scheduler) planDue(snapshot *watch.Snapshot, now time.Time) bool {
	since := now.Sub(s.plannedAt)
	if since < min(max(minPlanPause, planCostFactor*s.planDuration), maxPlanPause) {
		return false
	}
	s.lock.Lock()
	demandChanged := s.aggregator.TakeDirty() || s.aggregator.HasWaiting()
	s.lock.Unlock()
	changed := demandChanged || s.dirty || s.plannedVersion != snapshot.Version+snapshot.RosterVersion || since >= idlePlanInterval
	if changed {
		s.dirty, s.plannedVersion = false, snapshot.Version+snapshot.RosterVersion
	}
	return changed
}

func (s *Scheduler) currentCatalog(table *configuration.Table) *placement.Catalog {
	if !s.catalog.IsFor(table) {
		s.catalog = placement.NewCatalog(table)
	}
	return s.catalog
}
