// Package fleetsize stores on a majority of disks how many data planes there are and which of them may be homes of tenant
// limits. After a restart of all control planes, the shares of fleet-wide limits are then known from the first response on.
// Without the record every control plane must first listen until it has heard from all data planes, and until then no share
// may be used.
//
// The recorded count is an upper bound: it is raised at once and lowered only after a delay. A control plane that has heard
// from more data planes than recorded uses the higher number. Start reading at Recorder.
package fleetsize

import (
	"slices"
	"time"

	"ferryspar/internal/peer"
)

// Record is the stored record.
type Record struct {
	// DataPlanes is the number of data planes that share the fleet-wide limits.
	DataPlanes int `json:"dataPlanes"`
	// Homes holds the data planes that may be homes of tenant limits, ordered by name.
	Homes []peer.Neighbour `json:"homes,omitempty"`
}

// Observation is what this control plane has heard from the data planes.
type Observation struct {
	// DataPlanes is the current number of data planes, including those that fell silent recently.
	DataPlanes int
	Homes      []peer.Neighbour
	// Complete is true if no live data plane can be missing.
	Complete bool
}

const (
	// lowerDelay is how long fewer data planes must have been observed before the record is lowered. If it were lowered during
	// a short absence of many data planes, it would be too low when they return.
	lowerDelay = 30 * time.Second
	// homesDelay is how long different homes must have been observed before they are recorded, since a rolling restart of
	// machines changes the homes briefly at each machine.
	homesDelay = 3 * time.Second
)

// Decider decides when the record changes, and to what. It is not safe for concurrent use.
type Decider struct {
	lowerSince time.Time
	homesSince time.Time
	homes      []peer.Neighbour
}

// Next returns the record that should replace the current one, and whether it differs from it.
func (d *Decider) Next(recorded Record, observed Observation, now time.Time) (Record, bool) {
	next := recorded
	next.DataPlanes = d.nextCount(recorded.DataPlanes, observed, now)
	if d.homesSettled(recorded.Homes, observed, now) {
		next.Homes = observed.Homes
	}
	changed := next.DataPlanes != recorded.DataPlanes || !slices.Equal(next.Homes, recorded.Homes)
	return next, changed
}

func (d *Decider) nextCount(recorded int, observed Observation, now time.Time) int {
	if observed.DataPlanes >= recorded || !observed.Complete {
		d.lowerSince = time.Time{}
		return max(recorded, observed.DataPlanes)
	}
	if d.lowerSince.IsZero() {
		d.lowerSince = now
	}
	if now.Sub(d.lowerSince) < lowerDelay {
		return recorded
	}
	return observed.DataPlanes
}

// homesSettled reports whether the observed homes differ from the recorded ones and have not changed for homesDelay.
func (d *Decider) homesSettled(recorded []peer.Neighbour, observed Observation, now time.Time) bool {
	if !slices.Equal(d.homes, observed.Homes) || d.homesSince.IsZero() {
		d.homes, d.homesSince = observed.Homes, now
	}
	isKnown := len(observed.Homes) > 0 && now.Sub(d.homesSince) >= homesDelay
	return isKnown && !slices.Equal(recorded, observed.Homes)
}
