package watch

import (
	"context"
	"time"

	"ferryspar/internal/peer"
)

// minWaitMs and maxWaitMs bound how long a watch request is kept pending, in milliseconds. This must be less than the
// timeout of peer.MethodWatch.
const (
	minWaitMs = 1
	maxWaitMs = 2000
)

// Host is the control plane that a Server belongs to.
type Host interface {
	// RecordWatch records the state that a data plane reports in a request.
	RecordWatch(request peer.WatchRequest, receivedAt time.Time)
	// CountedFor returns how long the data plane has been counted as live, and false if it isn't.
	CountedFor(dataPlane string, now time.Time) (time.Duration, bool)
	// CountReliable reports whether the node has run long enough to know all live data planes.
	CountReliable(now time.Time) bool
	// LiveDataPlanesKnown reports whether the node has run long enough to have heard from nearly all live data planes.
	LiveDataPlanesKnown(now time.Time) bool
	// RequestConfirmation requests that a majority confirms the state in a round that begins after the call.
	RequestConfirmation()
	// ReplicaLoadsFor returns the load that all data planes except the named one put on the replicas, by id.
	ReplicaLoadsFor(dataPlane string, replicas []string) map[string]peer.ReplicaLoad
	// IsLeaving reports whether the node is shutting down.
	IsLeaving() bool
}

// Identity identifies the control plane in each response.
type Identity struct {
	// Member is the address at which it serves other nodes.
	Member string
	Zone   string
	// Incarnation differs for each process of the member.
	Incarnation string
}

// Server answers the watch and subscribe requests of data planes. It has no state of its own and is safe for concurrent
// use.
type Server struct {
	identity  Identity
	host      Host
	publisher *Publisher
	endpoints *EndpointPublisher
	clock     func() time.Time
}

// NewServer returns a server of the publishers' state. The clock must be monotonic.
func NewServer(identity Identity, host Host, publisher *Publisher, endpoints *EndpointPublisher, clock func() time.Time) *Server {
	return &Server{
		identity:  identity,
		host:      host,
		publisher: publisher,
		endpoints: endpoints,
		clock:     clock,
	}
}

// HandleWatch answers a data plane's request once there is an update for it, or when the request has been pending for its
// MaxWaitMs, bounded by maxWaitMs. A request for a linearizable response waits for a confirmation that began after it was
// received. If the context ends first, the response is empty and therefore not fresh.
func (s *Server) HandleWatch(ctx context.Context, request peer.WatchRequest) peer.WatchResponse {
	receivedAt := s.clock()
	s.host.RecordWatch(request, receivedAt)
	waitMs := min(max(request.MaxWaitMs, minWaitMs), maxWaitMs)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	var endpointsChanged <-chan struct{}
	if request.Primary {
		endpointsChanged = s.endpoints.wakeChannel(request.DataPlane)
	}
	if request.Linearizable {
		s.host.RequestConfirmation()
	}
	for {
		snapshot := s.publisher.Current()
		response, due := s.respond(snapshot, request, receivedAt)
		if due {
			return response
		}
		select {
		case <-snapshot.changed:
		case <-awaitedConfirmation(snapshot, request):
		case <-endpointsChanged:
		case <-timer.C:
			response, _ = s.respond(s.publisher.Current(), request, receivedAt)
			return response
		case <-ctx.Done():
			return peer.WatchResponse{}
		}
	}
}

// awaitedConfirmation returns the channel that is closed at the next confirmation, or nil if the request needs none.
func awaitedConfirmation(snapshot *Snapshot, request peer.WatchRequest) <-chan struct{} {
	if request.Linearizable {
		return snapshot.confirmed
	}
	return nil
}

// respond returns the response to a request that was received at receivedAt, and whether it is due now. A node that is
// shutting down marks no response as confirmed, so that data planes switch to another node while it still serves them.
func (s *Server) respond(snapshot *Snapshot, request peer.WatchRequest, receivedAt time.Time) (response peer.WatchResponse, due bool) {
	now := s.clock()
	response = s.baseResponse(snapshot, request, now)
	due = s.hasUpdate(snapshot, request, now)
	if request.Primary && response.FreshMs > 0 {
		changes := s.endpoints.Changes(request, s.identity.Incarnation, now)
		response.EndpointSets, response.RosterVersion, response.Resubscribe = changes.Sets, changes.Version, changes.Resubscribe
		due = due || len(changes.Sets) > 0 || changes.Resubscribe
	}
	response.WaitedMs = now.Sub(receivedAt).Milliseconds()
	if request.Linearizable {
		response.Linearizable = snapshot.ConfirmedAt.After(receivedAt)
		due = response.Linearizable
	}
	if response.FreshMs > 0 {
		if duration, counted := s.host.CountedFor(request.DataPlane, now); counted {
			response.CountedForMs = duration.Milliseconds()
		}
		response.CountReliable = s.host.CountReliable(now)
	}
	if s.host.IsLeaving() {
		response.FreshMs, response.Linearizable = 0, false
	}
	return response, due
}

// baseResponse returns the response to a request without the endpoint sets that the data plane has subscribed to. Versions
// and addresses are always sent, the rest only while the state is confirmed.
func (s *Server) baseResponse(snapshot *Snapshot, request peer.WatchRequest, now time.Time) peer.WatchResponse {
	response := peer.WatchResponse{
		Member:      s.identity.Member,
		Zone:        s.identity.Zone,
		Incarnation: s.identity.Incarnation,
		FreshMs:     snapshot.freshFor(now).Milliseconds(),
		Version:     snapshot.Version,
		Revision:    snapshot.Revision,
		ZoneVersion: snapshot.ZoneVersion,
		RosterAgeMs: now.Sub(snapshot.RosterAsOf).Milliseconds(),
		LeaseHolder: snapshot.LeaseHolder,
	}
	response.ControlPlanesVersion = snapshot.ControlPlanesVersion
	if request.ControlPlanesVersion != snapshot.ControlPlanesVersion {
		response.ControlPlanes = snapshot.ControlPlanes
	}
	if response.FreshMs == 0 {
		return response
	}
	s.addFleetSize(&response, snapshot, now)
	if snapshot.ZoneVersion > request.ZoneVersion {
		response.Zones = snapshot.Zones
	}
	response.Context = snapshot.contextUpdate(request.ContextVersion)
	response.Forecast = snapshot.Forecast
	response.Drill = snapshot.Drill.Notice(request.Drill, now)
	if !request.Primary {
		return response
	}
	if neighbours := s.neighbours(snapshot, now); neighbours != nil && neighbours.Version != request.NeighboursVersion {
		response.Neighbours = neighbours
	}
	if snapshot.Revision > request.Revision {
		addConfiguration(&response, snapshot, request)
	}
	return response
}

// addConfiguration adds the configuration to the response: as differences from the data plane's revision if the data plane supports
// them and they are available, else as a whole.
func addConfiguration(response *peer.WatchResponse, snapshot *Snapshot, request peer.WatchRequest) {
	if request.AcceptsDeltas {
		response.Deltas = snapshot.differencesSince(request.Revision)
	}
	if len(response.Deltas) == 0 {
		response.CompressedConfiguration = snapshot.PackedConfiguration
	}
}

// addFleetSize adds the number of data planes. A node that may not have heard from all of them yet uses the recorded number if
// that is higher.
func (s *Server) addFleetSize(response *peer.WatchResponse, snapshot *Snapshot, now time.Time) {
	response.DataPlaneCount = snapshot.DataPlaneCount
	response.EarlyDataPlaneCount = snapshot.EarlyDataPlaneCount
	if s.host.CountReliable(now) {
		return
	}
	recorded := snapshot.FleetSize.DataPlanes
	response.DataPlaneCount = max(response.DataPlaneCount, recorded)
	response.EarlyDataPlaneCount = max(response.EarlyDataPlaneCount, recorded)
}

// neighbours returns the data planes that may be homes of tenants' limits. Until the node has run long enough to know the live
// ones, it returns the recorded ones.
func (s *Server) neighbours(snapshot *Snapshot, now time.Time) *peer.Neighbours {
	if len(snapshot.FleetSize.Homes) == 0 || s.host.LiveDataPlanesKnown(now) {
		return snapshot.Neighbours
	}
	return peer.NewNeighbours(snapshot.FleetSize.Homes)
}

// hasUpdate reports whether the snapshot contains anything that the data plane hasn't been sent.
func (s *Server) hasUpdate(snapshot *Snapshot, request peer.WatchRequest, now time.Time) bool {
	fresh := snapshot.IsFresh(now)
	if fresh && snapshot.contextVersion() > request.ContextVersion {
		return true
	}
	if request.Incarnation != s.identity.Incarnation || request.Version != snapshot.Version {
		return true
	}
	return request.Primary && fresh && snapshot.Revision > request.Revision
}

// HandleSubscribe changes the endpoint sets that a data plane watches and returns the added ones. While the state isn't
// confirmed or the node is shutting down, it changes nothing and the response isn't fresh.
func (s *Server) HandleSubscribe(_ context.Context, request peer.SubscribeRequest) peer.SubscribeResponse {
	snapshot := s.publisher.Current()
	if !snapshot.IsFresh(s.clock()) || s.host.IsLeaving() {
		return peer.SubscribeResponse{Incarnation: s.identity.Incarnation}
	}
	response := s.endpoints.Subscribe(request, s.clock())
	if replicas := replicasIn(response.EndpointSets); len(replicas) > 0 {
		response.Loads = s.host.ReplicaLoadsFor(request.DataPlane, replicas)
	}
	now := s.clock()
	response.Incarnation = s.identity.Incarnation
	response.FreshMs = snapshot.freshFor(now).Milliseconds()
	response.RosterAgeMs = now.Sub(snapshot.RosterAsOf).Milliseconds()
	return response
}

// replicasIn returns the ids of the replicas in endpoint sets, in no particular order.
func replicasIn(sets []peer.EndpointSet) []string {
	seen := map[string]bool{}
	var ids []string
	for _, set := range sets {
		for _, endpoint := range set.Endpoints {
			if !seen[endpoint.ID] {
				seen[endpoint.ID] = true
				ids = append(ids, endpoint.ID)
			}
		}
	}
	return ids
}
