package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/configuration"
	"ferryspar/internal/drill"
	"ferryspar/internal/retention"
)

// WatchRequest is a data plane's long poll of a control plane. It contains the versions that the data plane has applied; the
// control plane responds when it has newer ones, or after MaxWaitMs.
type WatchRequest struct {
	// Incarnation and Version are those of the last response from this control plane, empty and zero at first.
	Incarnation string `json:"life"`
	DataPlane   string `json:"daemon"`
	Zone        string `json:"area"`
	// Revision is the applied revision of the configuration, ZoneVersion the applied version of the zone states.
	Revision    int64  `json:"revision,omitempty"`
	ZoneVersion uint64 `json:"areaNumber,omitempty"`
	// RosterVersion is the roster version of the newest endpoint sets received from this incarnation of the control plane.
	RosterVersion uint64 `json:"roster,omitempty"`
	// Primary is set if this is the control plane from which the data plane receives the configuration and endpoint sets. The
	// others send only versions and zone states.
	Primary bool `json:"wants,omitempty"`
	// MaxWaitMs is the maximum time, in milliseconds, for which the control plane may keep the request pending.
	MaxWaitMs int64  `json:"holdMs"`
	Version   uint64 `json:"version"`
	// ContextVersion is the version of the last ContextUpdate applied, AppliedPurge the number of the last PurgeOrder
	// completed.
	ContextVersion uint64 `json:"context,omitempty"`
	AppliedPurge   uint64 `json:"forgot,omitempty"`
	// Leaving is set while the data plane shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// SubscriptionSequence is the sequence number of the last SubscribeRequest that was answered, zero for none.
	SubscriptionSequence uint64        `json:"follows,omitempty"`
	Drill                *drill.Report `json:"drill,omitempty"`
	// Address is the address at which the data plane serves other data planes, NeighboursVersion the version of its list of
	// them.
	Address           string `json:"address,omitempty"`
	NeighboursVersion uint64 `json:"neighbours,omitempty"`
	// Linearizable requests a response whose state a majority confirmed after the request arrived. A data plane without a
	// configuration sets it, because a state confirmed earlier could have been replaced before the data plane started.
	Linearizable bool `json:"proof,omitempty"`
	// ControlPlanesVersion is the version of the last ControlPlanes received from this control plane.
	ControlPlanesVersion uint64 `json:"controlNumber,omitempty"`
	// AcceptsDeltas is set if the data plane can apply deltas to the configuration of Revision.
	AcceptsDeltas bool `json:"differences,omitempty"`
}

// WatchResponse answers a WatchRequest. A data plane may use it only while IsFresh.
type WatchResponse struct {
	// Member is the address of the control plane, Zone its zone and Incarnation identifies its process.
	Member      string `json:"member"`
	Zone        string `json:"area"`
	Incarnation string `json:"life"`
	// FreshMs is the remaining confirmation lease, in milliseconds, when the response was created; zero if the state was not
	// confirmed by a majority. WaitedMs is how long the request had been pending by then.
	FreshMs  int64 `json:"freshMs,omitempty"`
	WaitedMs int64 `json:"heldMs,omitempty"`
	// Linearizable is set if the confirmation began after the request arrived.
	Linearizable bool `json:"proven,omitempty"`
	// Version is the version of the control plane's entire state, within its incarnation.
	Version uint64 `json:"version"`
	// Revision is the revision of the active configuration. CompressedConfiguration is its compressed document; it is sent
	// only by the data plane's primary, if the data plane has an older revision.
	Revision                int64  `json:"revision"`
	CompressedConfiguration []byte `json:"packed,omitempty"`
	// Deltas lead from the data plane's configuration to that of Revision. They are sent instead of CompressedConfiguration.
	Deltas []configuration.Delta `json:"differences,omitempty"`
	// ZoneVersion is the version of the zone states. Zones is sent to data planes that have an older version.
	ZoneVersion uint64               `json:"areaNumber"`
	Zones       map[string]ZoneState `json:"areas,omitempty"`
	// EndpointSets holds the subscribed sets that changed, RosterVersion their roster version, and RosterAgeMs the age of that
	// roster in milliseconds.
	RosterVersion uint64        `json:"roster"`
	RosterAgeMs   int64         `json:"rosterAge"`
	EndpointSets  []EndpointSet `json:"parts,omitempty"`
	// Resubscribe asks the data plane to resend all its subscriptions.
	Resubscribe bool `json:"refollow,omitempty"`
	// DataPlaneCount is the number of live data planes, among which fleet-wide limits are divided.
	DataPlaneCount int `json:"edges"`
	// LeaseHolder is the address of the placement lease holder. ControlPlanes are the addresses of all known control planes,
	// sent to a data plane that has another ControlPlanesVersion.
	LeaseHolder   string                 `json:"holder"`
	ControlPlanes []string               `json:"control,omitempty"`
	Context       *ContextUpdate         `json:"context,omitempty"`
	Forecast      *drill.ForecastRequest `json:"question,omitempty"`
	Drill         *drill.Notice          `json:"drill,omitempty"`
	// CountedForMs is how long, in milliseconds, the data plane has been included in DataPlaneCount.
	CountedForMs int64 `json:"countedMs,omitempty"`
	// CountReliable is set if DataPlaneCount can't miss a live data plane, because the control plane has run for longer than
	// it retains data planes that send no requests.
	CountReliable bool `json:"edgesSure,omitempty"`
	// EarlyDataPlaneCount is the number of data planes that have sent a request so far. It is available sooner after a start
	// than DataPlaneCount.
	EarlyDataPlaneCount int `json:"present,omitempty"`
	// Neighbours is sent to a data plane that has another version of the list.
	Neighbours *Neighbours `json:"neighbours,omitempty"`
	// ControlPlanesVersion is the version of ControlPlanes.
	ControlPlanesVersion uint64 `json:"controlNumber,omitempty"`
}

// HasConfiguration reports whether the response contains a configuration, complete or as deltas.
func (r *WatchResponse) HasConfiguration() bool {
	return len(r.CompressedConfiguration) > 0 || len(r.Deltas) > 0
}

// ZoneState is whether a zone is drained, and the version of the change that set it.
type ZoneState struct {
	Version uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// ContextUpdate is the retention limit of cached context (MaxAgeMs, in milliseconds; zero for no limit) and the orders to
// purge some of it.
type ContextUpdate struct {
	Version  uint64       `json:"number"`
	MaxAgeMs int64        `json:"lifeMs"`
	Purges   []PurgeOrder `json:"forgets,omitempty"`
}

// PurgeOrder orders data planes to discard the cached context of a scope.
type PurgeOrder struct {
	Number uint64          `json:"number"`
	Scope  retention.Scope `json:"scope"`
}

// Neighbours lists the data planes that hold quota pools of tenants. Equal lists have equal versions.
type Neighbours struct {
	Version uint64      `json:"mark"`
	List    []Neighbour `json:"list"`
}

// NewNeighbours returns a list with its version.
func NewNeighbours(list []Neighbour) *Neighbours {
	digest := xxhash.New()
	for _, neighbour := range list {
		_, _ = digest.WriteString(neighbour.Name + "\x00" + neighbour.Address + "\x00")
	}
	return &Neighbours{Version: digest.Sum64(), List: list}
}

// Neighbour is a data plane and the address at which it serves other data planes.
type Neighbour struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// ConfirmationLease is how long a majority's confirmation is valid. The lease starts before the members are asked, is
// measured with a monotonic clock and is checked for each response, so that a suspended process or a blocked loop can't
// outlive it.
const ConfirmationLease = 1100 * time.Millisecond

// ConfirmedAt returns the latest time, by the requester's clock, at which the confirmation of the state can have begun: the
// state includes everything acknowledged before. sentAt is when the request was sent. The result is zero if the state was
// not confirmed.
func (r WatchResponse) ConfirmedAt(sentAt time.Time) time.Time {
	if r.FreshMs <= 0 {
		return time.Time{}
	}
	remaining := time.Duration(r.WaitedMs+r.FreshMs) * time.Millisecond
	return sentAt.Add(remaining - ConfirmationLease)
}

// IsFresh reports whether the confirmation lease of the state is still valid. The remaining lease is counted from the time
// at which the request was sent plus the time for which it was pending, so that a delayed response does not count as fresh.
func (r WatchResponse) IsFresh(sentAt, now time.Time) bool {
	return isFresh(sentAt, r.WaitedMs+r.FreshMs, r.FreshMs, now)
}

// isFresh reports whether a lease that had remainingMs left, and ends untilMs after the request was sent, is still valid.
func isFresh(sentAt time.Time, untilMs, remainingMs int64, now time.Time) bool {
	return remainingMs > 0 && now.Before(sentAt.Add(time.Duration(untilMs)*time.Millisecond))
}
