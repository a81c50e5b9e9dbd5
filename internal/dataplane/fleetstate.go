package dataplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/drill"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

const (
	// checkInterval is how often time-dependent state is checked: the choice of the primary and the end of a drill.
	checkInterval = 100 * time.Millisecond
	// maxSecondaryHold is the maximum time that a secondary may hold a poll.
	maxSecondaryHold = 2 * time.Second
	// resultBufferSize is how many results of calls may be queued for the goroutine of Run.
	resultBufferSize = 4
)

// FleetState is this data plane's view of the fleet: the configuration, evacuated zones, replicas and the load of other data
// planes. Run merges the responses of the control plane and publishes a new routing.Snapshot, so that the request path never
// waits for a lock of the state.
type FleetState struct {
	settings nodesettings.Settings
	clock    func() time.Time
	snapshot *atomic.Pointer[routing.Snapshot]
	onChange func()
	repoll   func(address string)
	// requestLog, if set before Run, records configurations and fleets.
	requestLog *requestlog.Writer

	// The fields below are safe for concurrent use as documented on their types.
	position     watchPosition
	freshness    *freshness
	interest     *modelInterest
	quotas       *Quotas
	contextRules contextRules
	drills       drillFollower

	// Only the goroutine of Run uses the fields below; other goroutines send it results over channels.
	adopted       adoptedState
	configuration configuration.Follower
	controlPeers  controlPeers
	subscriptions subscriptions
	endpoints     endpointTable
	peerLoads     peerLoads
	// calls counts the goroutines that Run has started.
	calls sync.WaitGroup
}

// adoptedState holds the configuration and the state of zones in use. Only the goroutine of FleetState.Run uses it.
type adoptedState struct {
	table *configuration.Table
	zones map[string]peer.ZoneState
}

// FleetStateOptions are the options of a FleetState. Settings, Clock and Snapshot are required; the others may be nil, which
// disables the respective function.
type FleetStateOptions struct {
	Settings nodesettings.Settings
	Clock    func() time.Time
	// Snapshot receives a new snapshot whenever the state changes.
	Snapshot *atomic.Pointer[routing.Snapshot]
	// OnChange is called after a new snapshot was stored.
	OnChange func()
	// UpdateLedger runs the change on the goroutine that owns the prefix ledger, possibly after it returns.
	UpdateLedger func(change func(*routing.PrefixLedger))
	// AnswerForecast sends a forecast to the control-plane node that asked for it.
	AnswerForecast func(ctx context.Context, address string, question drill.ForecastRequest)
	// Repoll ends the pending poll of a node that has become the primary.
	Repoll func(address string)
	Quotas *Quotas
}

// NewFleetState returns an empty state and stores an empty snapshot.
func NewFleetState(options FleetStateOptions) *FleetState {
	state := &FleetState{
		settings:     options.Settings,
		clock:        options.Clock,
		snapshot:     options.Snapshot,
		onChange:     options.OnChange,
		repoll:       options.Repoll,
		freshness:    newFreshness(options.Settings),
		interest:     newModelInterest(options.Clock),
		quotas:       options.Quotas,
		contextRules: contextRules{clock: options.Clock, updateLedger: options.UpdateLedger},
		drills:       drillFollower{answerForecast: options.AnswerForecast},
		adopted:      adoptedState{zones: map[string]peer.ZoneState{}},
		controlPeers: controlPeers{
			zone:      options.Settings.Zone,
			byAddress: map[string]*controlPeer{},
		},
		subscriptions: subscriptions{results: make(chan subscribeResult, resultBufferSize)},
		endpoints:     endpointTable{regions: options.Settings.Zones, clock: options.Clock},
		peerLoads:     peerLoads{reports: make(chan reportedLoad, resultBufferSize)},
	}
	state.position.init()
	options.Snapshot.Store(&routing.Snapshot{})
	return state
}

// Ready reports whether a configuration has been adopted. Any goroutine may call it.
func (s *FleetState) Ready() bool { return s.snapshot.Load().Table != nil }

// Primary returns the address of the primary, the control-plane node from which endpoints are received, or "". Any goroutine may
// call it.
func (s *FleetState) Primary() string { return *s.position.primary.Load() }

// TrustsContext reports whether the prefix ledger may be used for routing. Any goroutine may call it.
func (s *FleetState) TrustsContext(now time.Time) bool { return s.contextRules.trusted(now) }

// Drain makes subsequent polls announce that this node is shutting down. Any goroutine may call it.
func (s *FleetState) Drain() { s.position.draining.Store(true) }

// adoptFleetLoad passes the load of the other data planes to Run, or returns when the context ends. sentAt is when the report was
// sent that the load responds to.
func (s *FleetState) adoptFleetLoad(ctx context.Context, load peer.FleetLoad, sentAt time.Time) {
	select {
	case s.peerLoads.reports <- reportedLoad{load: load, sentAt: sentAt}:
	case <-ctx.Done():
	}
}

// endpointIDs returns the ids of the replicas in use, sorted. Any goroutine may call it.
func (s *FleetState) endpointIDs() peer.ReplicaIDs {
	if known := s.endpoints.ids.Load(); known != nil {
		return *known
	}
	return peer.ReplicaIDs{}
}

// Run merges results until the context ends, and returns after the calls that it has started have ended.
func (s *FleetState) Run(ctx context.Context, watcher *Watcher, peers *peer.Client) {
	defer s.calls.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-watcher.results:
			s.completePoll(ctx, &result)
			if result.err == nil {
				watcher.Watch(ctx, result.response.ControlPlanes)
			}
		case <-s.interest.wake:
			s.subscribe(ctx, peers)
		case result := <-s.subscriptions.results:
			if s.handleSubscribeResult(&result) {
				s.publish()
			}
			if s.subscriptionComplete(result.address) {
				s.subscribe(ctx, peers)
			}
		case reported := <-s.peerLoads.reports:
			s.peerLoads.adoptReport(reported, s.clock())
			s.publish()
		case <-ticker.C:
			s.choosePrimary()
			s.checkDrill()
			s.subscribe(ctx, peers)
		}
	}
}

// completePoll adopts a result, publishes any change and lets the next poll start, which acknowledges the result.
func (s *FleetState) completePoll(ctx context.Context, result *watchResult) {
	if s.handleWatchResult(ctx, result) {
		s.publish()
	}
	if result.err == nil {
		s.freshness.observe(&result.response, result.sentAt, s.position.revision.Load(), result.fresh())
	}
	rejected := result.err == nil && result.fresh() && s.isConfigurationRejected(&result.response)
	result.markHandled(resultDisposition{configurationRejected: rejected})
}

// isConfigurationRejected reports whether a response that was handled had a configuration that could not be adopted.
func (s *FleetState) isConfigurationRejected(response *peer.WatchResponse) bool {
	return response.HasConfiguration() && s.mayAdopt(response) && response.Revision > s.position.revision.Load()
}

// handleWatchResult adopts a result and reports whether the snapshot changes.
func (s *FleetState) handleWatchResult(ctx context.Context, result *watchResult) bool {
	control := s.controlPeers.getOrCreate(result.address)
	if result.err != nil {
		control.fresh = false
		s.choosePrimary()
		return false
	}
	response, fresh := &result.response, result.fresh()
	control.update(result)
	changed := false
	if fresh && s.mayAdopt(response) {
		changed = s.adopt(response)
		s.contextRules.confirm(result.receivedAt)
		changed = s.drills.handle(ctx, &s.calls, result, s.evacuating()) || changed
	}
	if fresh && s.quotas != nil {
		count, reliable := s.controlPeers.reliableDataPlaneCount(s.clock())
		s.quotas.handleUpdate(response, count, reliable, result.sentAt)
	}
	s.choosePrimary()
	return s.handleEndpointSets(control, result) || changed
}

// mayAdopt reports whether the state in a response may be adopted. Before this incarnation has a configuration, the response must
// be linearizable, that is, confirmed by a majority after the poll was sent; otherwise its configuration could be older than the
// one that the previous incarnation used. Later responses are safe because revisions only increase.
func (s *FleetState) mayAdopt(response *peer.WatchResponse) bool {
	return response.Linearizable || s.position.revision.Load() > 0
}

// adopt adopts the newer parts of a response and reports whether the snapshot changes. Zone state and context rules are adopted
// even if the configuration cannot be decoded.
func (s *FleetState) adopt(response *peer.WatchResponse) bool {
	changed, err := s.adoptConfiguration(response)
	if err != nil {
		logrus.WithError(err).Error("configuration from control plane rejected")
	}
	if response.Context != nil {
		s.contextRules.adopt(*response.Context, &s.position)
	}
	return s.adoptZones(response.Zones) || changed
}

func (s *FleetState) adoptZones(zones map[string]peer.ZoneState) bool {
	changed := false
	for zone, state := range zones {
		if state.Version <= s.adopted.zones[zone].Version {
			continue
		}
		s.adopted.zones[zone] = state
		changed = true
		logrus.WithFields(logrus.Fields{"zone": zone, "drained": state.Drained}).Info("zone evacuation adopted")
	}
	version := uint64(0)
	for _, state := range s.adopted.zones {
		version += state.Version
	}
	s.position.zoneVersion.Store(version)
	return changed
}

// evacuating reports whether any zone is evacuated.
func (s *FleetState) evacuating() bool {
	for _, state := range s.adopted.zones {
		if state.Drained {
			return true
		}
	}
	return false
}

// checkDrill ends a drill that has expired or whose control plane is out of contact, independently of responses.
func (s *FleetState) checkDrill() {
	if s.drills.check(s.clock(), s.evacuating()) {
		s.publish()
	}
}

// publish stores a new snapshot of the current state.
func (s *FleetState) publish() {
	snapshot := &routing.Snapshot{
		Table:          s.adopted.table,
		DrainedZones:   make(map[string]bool, len(s.adopted.zones)),
		DataPlaneCount: s.controlPeers.dataPlaneCount(s.clock()),
		ListedAt:       s.endpoints.fetchedAt,
		Replicas:       s.endpoints.replicas,
		PeerLoads:      s.peerLoads.latest.Replicas,
		PeerLoadsAt:    s.peerLoads.receivedAt,
		PeerOutcomes:   s.peerLoads.latest.Total,
		Drill:          s.drills.current,
	}
	for zone, state := range s.adopted.zones {
		snapshot.DrainedZones[zone] = state.Drained
	}
	s.snapshot.Store(snapshot)
	s.recordSnapshot(snapshot)
	if s.onChange != nil {
		s.onChange()
	}
}

// fillWatchRequest implements pollState. Any goroutine may call it.
func (s *FleetState) fillWatchRequest(request *peer.WatchRequest, address string) {
	request.DataPlane, request.Zone = s.settings.NodeName, s.settings.Zone
	s.position.fill(request, address)
	if s.quotas != nil {
		s.quotas.fillWatchRequest(request)
	}
	request.Drill = s.drills.report(s.clock())
	request.MaxWaitMs = int64(s.settings.HeartbeatMs)
	if !request.Primary {
		request.MaxWaitMs = min(2*request.MaxWaitMs, maxSecondaryHold.Milliseconds())
	}
	request.MaxWaitMs = s.freshness.limitHold(request.MaxWaitMs)
}
