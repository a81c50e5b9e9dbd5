package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/configuration"
	"ferryspar/internal/drill"
	"ferryspar/internal/retention"
)

// WatchRequest is a data plane's long poll at a control plane. It says what the data plane applies by now; the response
// comes once there is something newer, or after MaxWaitMs.
type WatchRequest struct {
	// Incarnation and Version repeat those of the last response from this control plane, empty and zero at first.
	Incarnation string `json:"life"`
	// DataPlane is the name of the data plane, Zone its zone.
	DataPlane string `json:"daemon"`
	Zone      string `json:"area"`
	// Revision is that of the configuration that the data plane applies, ZoneVersion the one of the zones' state.
	Revision    int64  `json:"revision,omitempty"`
	ZoneVersion uint64 `json:"areaNumber,omitempty"`
	// RosterVersion is that of the newest endpoint sets received from this incarnation of the control plane.
	RosterVersion uint64 `json:"roster,omitempty"`
	// Primary says that the data plane takes the configuration and endpoint sets from this control plane. From the
	// others it only takes versions and the state of zones.
	Primary bool `json:"wants,omitempty"`
	// MaxWaitMs is how long, in milliseconds, the control plane may keep the request pending.
	MaxWaitMs int64  `json:"holdMs"`
	Version   uint64 `json:"version"`
	// ContextVersion is that of the last ContextUpdate applied, AppliedPurge the number of the last PurgeOrder that
	// is carried out.
	ContextVersion uint64 `json:"context,omitempty"`
	AppliedPurge   uint64 `json:"forgot,omitempty"`
	// Leaving says that the data plane shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// SubscriptionSequence is that of the last SubscribeRequest that was answered, zero for none.
	SubscriptionSequence uint64        `json:"follows,omitempty"`
	Drill                *drill.Report `json:"drill,omitempty"`
	// Address is where the data plane serves other data planes. NeighboursVersion is that of the list of these that it
	// has.
	Address           string `json:"address,omitempty"`
	NeighboursVersion uint64 `json:"neighbours,omitempty"`
	// Linearizable asks for a response whose state a majority confirmed after the request arrived. A data plane without
	// a configuration asks for that: an earlier confirmation could be of a state that was replaced before it started.
	Linearizable bool `json:"proof,omitempty"`
	// ControlPlanesVersion is that of the ControlPlanes received last from this control plane.
	ControlPlanesVersion uint64 `json:"controlNumber,omitempty"`
	// AcceptsDeltas says that the data plane can apply differences to the configuration of Revision.
	AcceptsDeltas bool `json:"differences,omitempty"`
}

// WatchResponse answers a WatchRequest. A data plane may rely on it only while it is fresh, see IsFresh.
type WatchResponse struct {
	// Member is the address of the control plane, Zone its zone and Incarnation that of its process.
	Member      string `json:"member"`
	Zone        string `json:"area"`
	Incarnation string `json:"life"`
	// FreshMs is how much longer, in milliseconds, the state counted as confirmed by a majority when the response was
	// made; zero if it did not. WaitedMs is how long the request had been pending by then.
	FreshMs  int64 `json:"freshMs,omitempty"`
	WaitedMs int64 `json:"heldMs,omitempty"`
	// Linearizable says that the confirmation began after the request arrived.
	Linearizable bool `json:"proven,omitempty"`
	// Version is that of the control plane's state as a whole, within its incarnation.
	Version uint64 `json:"version"`
	// Revision is that of the configuration in force. PackedConfiguration is the configuration itself, compressed; it
	// is sent to a data plane whose primary this control plane is, if it applies an older one.
	Revision                int64  `json:"revision"`
	CompressedConfiguration []byte `json:"packed,omitempty"`
	// Deltas lead from the configuration that the data plane applies to that of Revision. They come in place of
	// PackedConfiguration.
	Deltas []configuration.Delta `json:"differences,omitempty"`
	// ZoneVersion is that of the zones' state. Zones is sent to data planes that have an older one.
	ZoneVersion uint64               `json:"areaNumber"`
	Zones       map[string]ZoneState `json:"areas,omitempty"`
	// RosterVersion is that of EndpointSets, which are those that the data plane subscribed to and that changed.
	// RosterAgeMs is how old, in milliseconds, the list of replicas is that they come from.
	RosterVersion uint64        `json:"roster"`
	RosterAgeMs   int64         `json:"rosterAge"`
	EndpointSets  []EndpointSet `json:"parts,omitempty"`
	// Resubscribe asks the data plane to send all its subscriptions anew.
	Resubscribe bool `json:"refollow,omitempty"`
	// DataPlaneCount is how many data planes are live, by which limits that bind the fleet are divided.
	DataPlaneCount int `json:"edges"`
	// LeaseHolder is the address of the placement lease's holder, ControlPlanes those of all control planes known; they are
	// sent to a data plane that has another ControlPlanesVersion of them.
	LeaseHolder   string                 `json:"holder"`
	ControlPlanes []string               `json:"control,omitempty"`
	Context       *ContextUpdate         `json:"context,omitempty"`
	Forecast      *drill.ForecastRequest `json:"question,omitempty"`
	Drill         *drill.Notice          `json:"drill,omitempty"`
	// CountedForMs is for how long, in milliseconds, the data plane has been among the DataPlaneCount.
	CountedForMs int64 `json:"countedMs,omitempty"`
	// CountReliable says that no live data plane can be missing from DataPlaneCount: the control plane has run for
	// longer than it remembers a silent one.
	CountReliable bool `json:"edgesSure,omitempty"`
	// EarlyDataPlaneCount is how many data planes have sent a request by now. It is known sooner after a start than
	// DataPlaneCount.
	EarlyDataPlaneCount int `json:"present,omitempty"`
	// Neighbours is sent to a data plane that has another version of it.
	Neighbours *Neighbours `json:"neighbours,omitempty"`
	// ControlPlanesVersion tells lists of control planes apart.
	ControlPlanesVersion uint64 `json:"controlNumber,omitempty"`
}

// HasConfiguration says whether the response brings a configuration, whole or by differences.
func (r *WatchResponse) HasConfiguration() bool {
	return len(r.CompressedConfiguration) > 0 || len(r.Deltas) > 0
}

// ZoneState is whether a zone is drained, and the version of the change that said so.
type ZoneState struct {
	Version uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// ContextUpdate is how long cached context may be kept (MaxAgeMs, in milliseconds; zero for no limit), and the orders to
// forget some of it.
type ContextUpdate struct {
	Version  uint64       `json:"number"`
	MaxAgeMs int64        `json:"lifeMs"`
	Purges   []PurgeOrder `json:"forgets,omitempty"`
}

// PurgeOrder orders data planes to drop cached context of a scope.
type PurgeOrder struct {
	Number uint64          `json:"number"`
	Scope  retention.Scope `json:"scope"`
}

// Neighbours lists the data planes that keep quota pools for tenants. Equal lists have equal versions.
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

// ConfirmationLease is how long a confirmation by a majority may be relied on. It is a lease: it is counted from before
// the members were asked, by a monotonic clock, and checked anew for each response, so that no suspended process or
// blocked loop outlives it.
const ConfirmationLease = 1100 * time.Millisecond

// ConfirmedAt returns the latest moment at which the confirmation of the state can have begun: all that was
// acknowledged before is in the state. It is by the requester's clock, from when it sent the request, and zero if the
// state was not confirmed.
func (r WatchResponse) ConfirmedAt(sentAt time.Time) time.Time {
	if r.FreshMs <= 0 {
		return time.Time{}
	}
	remaining := time.Duration(r.WaitedMs+r.FreshMs) * time.Millisecond
	return sentAt.Add(remaining - ConfirmationLease)
}

// IsFresh says whether the state still counts as confirmed by a majority. The rest of the lease is counted from when the
// request was sent plus the time for which it was pending, so that a response that was long on its way isn't taken for a
// fresh one.
func (r WatchResponse) IsFresh(sentAt, now time.Time) bool {
	return isFresh(sentAt, r.WaitedMs+r.FreshMs, r.FreshMs, now)
}

// isFresh says whether a lease of which remainingMs were left is still valid until untilMs after the request was sent.
func isFresh(sentAt time.Time, untilMs, remainingMs int64, now time.Time) bool {
	return remainingMs > 0 && now.Before(sentAt.Add(time.Duration(untilMs)*time.Millisecond))
}
