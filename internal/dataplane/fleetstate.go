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
	// checkInterval is how often the state looks at what time alone changes: the choice of a primary, the end of a drill.
	checkInterval = 100 * time.Millisecond
	// maxSecondaryHold is how long a poll of a node other than the primary may be held.
	maxSecondaryHold = 2 * time.Second
	// pendingResults is how many results of calls may wait for the goroutine of Run.
	pendingResults = 4
)

// FleetState is what this data plane knows of the fleet: the configuration, evacuated zones, replicas and the load of
// other data planes. Run merges what the control plane says and swaps in a new routing.Snapshot for the path of requests,
// which therefore never waits for a lock of the state.
type FleetState struct {
	settings nodesettings.Settings
	clock    func() time.Time
	snapshot *atomic.Pointer[routing.Snapshot]
	onChange func()
	repoll   func(address string)
	// requestLog, if set before Run, has configurations and fleets written to it.
	requestLog *requestlog.Writer

	// The parts below may be used by any goroutine; each says by which lock or atomics.
	position     watchPosition
	freshness    *freshness
	interest     *modelInterest
	quotas       *Quotas
	contextRules contextRules
	drills       drillFollower

	// The parts below belong to the goroutine of Run, without a lock; other goroutines hand it results by channels.
	adopted       adoptedState
	configuration configuration.Follower
	controlPeers  controlPeers
	subscriptions subscriptions
	endpoints     endpointTable
	others        othersLoad
	// calls are the goroutines that Run has started.
	calls sync.WaitGroup
}

// adoptedState is the configuration and the evacuations in use here. It belongs to the goroutine of FleetState.Run.
type adoptedState struct {
	table *configuration.Table
	zones map[string]peer.ZoneState
}

// FleetStateOptions are what a FleetState works with. Settings, Clock and Snapshot are needed; a nil function or part is
// left out.
type FleetStateOptions struct {
	Settings nodesettings.Settings
	Clock    func() time.Time
	// Snapshot is replaced as a whole whenever something changes.
	Snapshot *atomic.Pointer[routing.Snapshot]
	// OnChange is called after each swap of Snapshot.
	OnChange func()
	// UpdateLedger has the change made by the goroutine that owns the prefix ledger, now or later.
	UpdateLedger func(change func(*routing.PrefixLedger))
	// AnswerForecast sends a forecast to the control-plane node that asked for it.
	AnswerForecast func(ctx context.Context, address string, question drill.ForecastRequest)
	// Repoll ends the pending poll of a node that has become the primary.
	Repoll func(address string)
	Quotas *Quotas
}

// NewFleetState returns a state that knows nothing yet, and stores an empty snapshot.
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
		subscriptions: subscriptions{results: make(chan subscribeResult, pendingResults)},
		endpoints:     endpointTable{regions: options.Settings.Zones, clock: options.Clock},
		others:        othersLoad{reports: make(chan reportedLoad, pendingResults)},
	}
	state.position.init()
	options.Snapshot.Store(&routing.Snapshot{})
	return state
}

// Ready reports whether a configuration has been adopted. Any goroutine may call it.
func (s *FleetState) Ready() bool { return s.snapshot.Load().Table != nil }

// Primary is the address of the control-plane node that endpoints are followed at, or empty. Any goroutine may call it.
func (s *FleetState) Primary() string { return *s.position.primary.Load() }

// TrustsContext reports whether the prefixes that replicas are taken to have cached may still be used. Any goroutine may
// call it.
func (s *FleetState) TrustsContext(now time.Time) bool { return s.contextRules.trusted(now) }

// Drain has polls say from now on that this node is shutting down. Any goroutine may call it.
func (s *FleetState) Drain() { s.position.draining.Store(true) }

// adoptFleetLoad hands the load of the other data planes, the answer to a report that was sent at a moment, to Run, or gives
// up when the context ends.
func (s *FleetState) adoptFleetLoad(ctx context.Context, load peer.FleetLoad, sentAt time.Time) {
	select {
	case s.others.reports <- reportedLoad{load: load, sentAt: sentAt}:
	case <-ctx.Done():
	}
}

// endpointIDs returns the replicas that are known here, ordered by id. Any goroutine may call it.
func (s *FleetState) endpointIDs() peer.ReplicaIDs {
	if known := s.endpoints.ids.Load(); known != nil {
		return *known
	}
	return peer.ReplicaIDs{}
}

// Run merges results until the context ends, and returns once the calls that it has started are over.
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
			if s.completeFrom(result.address) {
				s.subscribe(ctx, peers)
			}
		case reported := <-s.others.reports:
			s.others.adoptReport(reported, s.clock())
			s.publish()
		case <-ticker.C:
			s.choosePrimary()
			s.checkDrill()
			s.subscribe(ctx, peers)
		}
	}
}

// completePoll adopts a result, publishes what it changed and lets the next poll begin, which then acknowledges it.
func (s *FleetState) completePoll(ctx context.Context, result *watchResult) {
	if s.handleWatchResult(ctx, result) {
		s.publish()
	}
	if result.err == nil {
		s.freshness.observe(&result.response, result.sentAt, s.position.revision.Load(), result.fresh())
	}
	rejected := result.err == nil && result.fresh() && s.isConfigurationRejected(&result.response)
	result.markHandled(resultUse{configurationRejected: rejected})
}

// isConfigurationRejected reports whether a response that was handled has a configuration that could not be adopted.
func (s *FleetState) isConfigurationRejected(response *peer.WatchResponse) bool {
	return response.HasConfiguration() && s.acceptable(response) && response.Revision > s.position.revision.Load()
}

// handleWatchResult adopts a result and reports whether the snapshot changes by it.
func (s *FleetState) handleWatchResult(ctx context.Context, result *watchResult) bool {
	control := s.controlPeers.at(result.address)
	if result.err != nil {
		control.fresh = false
		s.choosePrimary()
		return false
	}
	response, fresh := &result.response, result.fresh()
	control.update(result)
	changed := false
	if fresh && s.acceptable(response) {
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

// acceptable reports whether a response may bring the first configuration of this incarnation: only if contact with a
// majority was proven after this data plane polled, or a configuration from before its start could be older than the one
// it served then. Later ones only ever rise.
func (s *FleetState) acceptable(response *peer.WatchResponse) bool {
	return response.Linearizable || s.position.revision.Load() > 0
}

// adopt adopts what is newer in a response and reports whether the snapshot changes by it. Where its configuration can't be
// decoded, zones are evacuated and context is forgotten all the same.
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

// checkDrill ends a drill whose time is up or whose control plane is out of touch, without any response.
func (s *FleetState) checkDrill() {
	if s.drills.check(s.clock(), s.evacuating()) {
		s.publish()
	}
}

// publish swaps in a snapshot of what is known now.
func (s *FleetState) publish() {
	snapshot := &routing.Snapshot{
		Table:          s.adopted.table,
		DrainedZones:   make(map[string]bool, len(s.adopted.zones)),
		DataPlaneCount: s.controlPeers.dataPlaneCount(s.clock()),
		ListedAt:       s.endpoints.fetchedAt,
		Replicas:       s.endpoints.replicas,
		PeerLoads:      s.others.latest.Replicas,
		PeerLoadsAt:    s.others.receivedAt,
		PeerOutcomes:   s.others.latest.Total,
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

// fillWatchRequest writes a poll of the address; it implements pollState. Any goroutine may call it.
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
