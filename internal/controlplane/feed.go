package controlplane

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/peer"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
)

const (
	planWithin  = 500 * time.Millisecond
	planPause   = 20 * time.Millisecond
	planLongest = 300 * time.Millisecond
	planShare   = 40
	showPause   = 50 * time.Millisecond
)

type feed struct {
	tally      *DemandAggregator
	heardRates map[string]peer.Rate
	catalog    *place.Catalog
	order      []string
	followed   *platform.Replica
	stirred    bool
	version    uint64
	planned    time.Time
	spent      time.Duration
	unshown    bool
	shown      time.Time
}

func (w *Scheduler) mayPlan(snapshot *Snapshot, now time.Time) bool {
	since := now.Sub(w.planned)
	if since < min(max(planPause, planShare*w.spent), planLongest) {
		return false
	}
	w.lock.Lock()
	waited := w.tally.TakeDirty() || len(w.tally.waiting) > 0
	w.lock.Unlock()
	changed := waited || w.stirred || w.version != snapshot.Version+snapshot.RosterVersion || since >= planWithin
	if changed {
		w.stirred, w.version = false, snapshot.Version+snapshot.RosterVersion
	}
	return changed
}

func (w *Scheduler) currentCatalog(table *configuration.Table) *place.Catalog {
	if !w.catalog.IsFor(table) {
		w.catalog = place.NewCatalog(table)
	}
	return w.catalog
}
