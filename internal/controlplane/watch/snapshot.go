package watch

import (
	"slices"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/fleetsize"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

// Snapshot is the state that a control plane publishes. It is immutable: the Publisher replaces it as a whole, and
// readers may keep it without a lock.
type Snapshot struct {
	// Version rises with each change that data planes are to be sent, within the incarnation of the control plane.
	Version uint64
	// ConfirmedAt is a moment, by the monotonic clock, at or before which a majority of members confirmed that nothing
	// newer than this state was in force. It is zero before the first confirmation.
	ConfirmedAt time.Time

	// Revision is that of the configuration in force, zero for none. PackedConfiguration is its compressed document.
	Revision            int64
	PackedConfiguration []byte
	// AppliedCalls are the operators' calls that led to Revision.
	AppliedCalls controlstate.AppliedCalls
	// Differences is the chain of the last differences that led to Revision, the newest last. It is empty after a revision that
	// has none.
	Differences []configuration.Difference
	// Zones holds the zones' states by name; ZoneVersion is the sum of their versions.
	Zones       map[string]peer.ZoneState
	ZoneVersion uint64

	// RosterVersion rises with each change of Replicas or Cordoned. It stays in this process: data planes are sent the
	// version of the EndpointPublisher. RosterAsOf is a moment at or before which the list was made, zero if there is
	// none yet.
	RosterVersion uint64
	RosterAsOf    time.Time
	Replicas      []discovery.Replica
	// Cordoned lists what must get no new requests, as "replica model" or "replica model/adapter".
	Cordoned []string

	// LeaseHolder is the address of the placement lease's holder, ControlPlanes those of all control planes known.
	LeaseHolder   string
	ControlPlanes []string
	// ControlPlanesVersion is a digest of ControlPlanes, zero before the first.
	ControlPlanesVersion uint64
	// DataPlaneCount and EarlyDataPlaneCount are how many data planes are live, zero while that isn't known; see
	// peer.WatchResponse.
	DataPlaneCount      int
	EarlyDataPlaneCount int
	Neighbours          *peer.Neighbours
	// FleetSize is the record of these that survives a restart of all control planes.
	FleetSize fleetsize.Record

	// Retention is how long cached context may be kept, Forgets what of it was ordered to be forgotten.
	Retention   retention.Policy
	PurgeRecord retention.Record
	// Forecast is the forecast question that is open, or nil.
	Forecast *drill.ForecastRequest
	Drill    drill.State

	// changed is closed when the next version replaces this one, confirmed at the next confirmation.
	changed   chan struct{}
	confirmed chan struct{}
}

const (
	// maxDifferences is how many differences are kept: more than a storm of changes makes while a data plane is cut off for
	// some seconds.
	maxDifferences = 64
	// maxDifferenceShare is the share of the whole configuration above which differences are not sent in its place.
	maxDifferenceShare = 0.5
)

// AddDifference has the snapshot follow a difference to its newest revision, or none if that differs in more than routes. It
// must be called before Revision is changed.
func (s *Snapshot) AddDifference(difference *configuration.Difference) {
	if difference == nil || difference.Base != s.Revision {
		s.Differences = nil
		return
	}
	kept := s.Differences[max(len(s.Differences)-maxDifferences+1, 0):]
	s.Differences = append(slices.Clone(kept), *difference)
}

// differencesSince returns the chain of differences from a revision, or nil if there is none or the whole is not much larger.
func (s *Snapshot) differencesSince(revision int64) []configuration.Difference {
	first := slices.IndexFunc(s.Differences, func(difference configuration.Difference) bool { return difference.Base == revision })
	if first < 0 {
		return nil
	}
	size := 0
	for _, difference := range s.Differences[first:] {
		size += len(difference.Patch)
	}
	if float64(size) > maxDifferenceShare*float64(len(s.PackedConfiguration)) {
		return nil
	}
	return s.Differences[first:]
}

// freshFor returns how much longer the state counts as confirmed by a majority; zero if it doesn't.
func (s *Snapshot) freshFor(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return 0
	}
	return max(peer.ConfirmationLease-now.Sub(s.ConfirmedAt), 0)
}

// IsFresh says whether a majority confirmed the state recently enough to rely on it.
func (s *Snapshot) IsFresh(now time.Time) bool { return s.freshFor(now) > 0 }

// contextVersion is the version of what data planes are sent about cached context.
func (s *Snapshot) contextVersion() uint64 { return s.Retention.Version + s.PurgeRecord.Number }

// contextUpdate returns what a data plane with an older version is sent about cached context, or nil.
func (s *Snapshot) contextUpdate(appliedVersion uint64) *peer.ContextUpdate {
	version := s.contextVersion()
	if version <= appliedVersion {
		return nil
	}
	update := &peer.ContextUpdate{Version: version, MaxAgeMs: s.Retention.LifetimeMs}
	for _, item := range s.PurgeRecord.Purges {
		update.Forgets = append(update.Forgets, peer.ForgetOrder{Number: item.Number, Scope: item.Scope})
	}
	return update
}
