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
	// Version is incremented by each change that is to be sent to data planes, within the incarnation of the control plane.
	Version uint64
	// ConfirmedAt is the time, by the monotonic clock, at which the last round began in which a majority of members confirmed
	// that nothing newer than this state was in force. It is zero before the first confirmation.
	ConfirmedAt time.Time

	// Revision is the revision of the configuration in force, zero for none. PackedConfiguration is its compressed document.
	Revision            int64
	PackedConfiguration []byte
	// AppliedCalls records the operators' calls that led to Revision.
	AppliedCalls controlstate.AppliedCalls
	// Differences is the chain of the last differences that led to Revision, newest last. It is empty if Revision has no difference
	// from its predecessor; see AddDifference.
	Differences []configuration.Delta
	// Zones holds the zones' states by name; ZoneVersion is the sum of their versions.
	Zones       map[string]peer.ZoneState
	ZoneVersion uint64

	// RosterVersion is incremented by each change of Replicas or Cordoned. It is only used in this process: data planes
	// are sent the version of the EndpointPublisher. RosterAsOf is a time that the list is at least as recent as, zero if
	// there is no list yet.
	RosterVersion uint64
	RosterAsOf    time.Time
	Replicas      []discovery.Replica
	// Cordoned lists the models and adapters that must get no new requests, as "replica model" or "replica model/adapter".
	Cordoned []string

	// LeaseHolder is the address of the placement lease's holder, ControlPlanes are the addresses of all known control planes.
	LeaseHolder   string
	ControlPlanes []string
	// ControlPlanesVersion is a digest of ControlPlanes, zero before the first.
	ControlPlanesVersion uint64
	// DataPlaneCount and EarlyDataPlaneCount are the number of live data planes, zero while it isn't known; see
	// peer.WatchResponse.
	DataPlaneCount      int
	EarlyDataPlaneCount int
	Neighbours          *peer.Neighbours
	// FleetSize is the stored record of the data planes, which survives a restart of all control planes.
	FleetSize fleetsize.Record

	// Retention limits how long cached context may be kept; PurgeRecord lists the operators' orders to forget cached context.
	Retention   retention.Policy
	PurgeRecord retention.Record
	// Forecast is the open forecast request, or nil.
	Forecast *drill.ForecastRequest
	Drill    drill.State

	// changed is closed when the next version replaces this one; confirmed is closed at the next confirmation.
	changed   chan struct{}
	confirmed chan struct{}
}

const (
	// maxDifferences is the number of differences kept: more than a burst of changes produces while a data plane is disconnected for
	// some seconds.
	maxDifferences = 64
	// maxDifferenceShare limits the size of the differences that are sent, as a share of the packed configuration's size; above it
	// the whole configuration is sent.
	maxDifferenceShare = 0.5
)

// AddDifference appends the difference that leads to the next revision. A nil difference, for a revision that differs in more than
// routes, or one with another base than Revision empties the chain. It must be called before Revision is changed.
func (s *Snapshot) AddDifference(difference *configuration.Delta) {
	if difference == nil || difference.Base != s.Revision {
		s.Differences = nil
		return
	}
	kept := s.Differences[max(len(s.Differences)-maxDifferences+1, 0):]
	s.Differences = append(slices.Clone(kept), *difference)
}

// differencesSince returns the chain of differences since a revision, or nil if there is none or it exceeds maxDifferenceShare.
func (s *Snapshot) differencesSince(revision int64) []configuration.Delta {
	first := slices.IndexFunc(s.Differences, func(difference configuration.Delta) bool { return difference.Base == revision })
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

// freshFor returns how much longer the state counts as confirmed by a majority, or zero if it doesn't.
func (s *Snapshot) freshFor(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return 0
	}
	return max(peer.ConfirmationLease-now.Sub(s.ConfirmedAt), 0)
}

// IsFresh reports whether a majority confirmed the state recently enough to rely on it.
func (s *Snapshot) IsFresh(now time.Time) bool { return s.freshFor(now) > 0 }

// contextVersion returns the version of the rules for cached context that data planes are sent.
func (s *Snapshot) contextVersion() uint64 { return s.Retention.Version + s.PurgeRecord.Number }

// contextUpdate returns the rules for cached context if the data plane has applied an older version, else nil.
func (s *Snapshot) contextUpdate(appliedVersion uint64) *peer.ContextUpdate {
	version := s.contextVersion()
	if version <= appliedVersion {
		return nil
	}
	update := &peer.ContextUpdate{Version: version, MaxAgeMs: s.Retention.LifetimeMs}
	for _, item := range s.PurgeRecord.Purges {
		update.Purges = append(update.Purges, peer.PurgeOrder{Number: item.Number, Scope: item.Scope})
	}
	return update
}
