package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

type controlPeer struct {
	fresh              bool
	lastSeen           time.Time
	revision           int64
	edgeCount          int
	presentEdges       int
	presentKnown       bool
	incarnation        string
	endpointSets       map[peer.EndpointKey]peer.EndpointSet
	complete           bool
	subscriptionNumber uint64
	fetchedAt          time.Time
	zone               string
	secondary          bool
}

// FleetState owns what the data plane knows: configuration, evacuations, replicas, others' load. Its
// run loop merges what control daemons tell and swaps in a new routing.Snapshot for the request path.
type FleetState struct {
	settings         nodesettings.Settings
	clock            func() time.Time
	fleet            *atomic.Pointer[routing.Snapshot]
	position         watchPosition
	controlPeers     map[string]*controlPeer
	zones            map[string]peer.ZoneState
	table            *configuration.Table
	fleetLoads       chan peer.FleetLoad
	fleetLoad        peer.FleetLoad
	fleetLoadAt      time.Time
	onChange         func()
	endpointsAsOf    time.Time
	endpointsFrom    string
	interest         *Interest
	subscribing      bool
	subscribeResults chan subscribeResult
	listedReplicas   []discovery.Replica
	replicas         []*routing.Replica
	contextNumber    uint64
	lastForgetNumber uint64
	Recorder         *requestlog.Writer
	lastConfirmed    atomic.Pointer[time.Time]
	hasContextRules  atomic.Bool
	updateLedger     func(func(*routing.PrefixLedger))
	repoll           func(address string)
	behindSince      time.Time
	knownEdgeCount   int
	knownEdgeCountAt time.Time
	drills           drillState
	freshness        *freshness
	quotas           *Quotas
}

// NewFleetState starts empty; notify is called after each swap.
func NewFleetState(settings nodesettings.Settings, clock func() time.Time, fleet *atomic.Pointer[routing.Snapshot], notify func()) *FleetState {
	state := &FleetState{
		settings: settings, clock: clock, fleet: fleet, controlPeers: map[string]*controlPeer{}, zones: map[string]peer.ZoneState{},
		fleetLoads: make(chan peer.FleetLoad, 4), onChange: notify, repoll: func(string) {}, interest: NewInterest(clock), subscribeResults: make(chan subscribeResult, 4),
		freshness: newFreshness(settings),
	}
	fleet.Store(&routing.Snapshot{})
	nobody := ""
	state.position.primary.Store(&nobody)
	state.position.subscription.Store(&subscription{})
	return state
}

func (s *FleetState) fillWatchRequest(request *peer.WatchRequest, address string) {
	request.Revision = s.position.revision.Load()
	request.Linearizable = request.Revision == 0
	if s.quotas != nil {
		s.quotas.fillWatchRequest(request)
	}
	request.ZoneVersion = s.position.zoneVersion.Load()
	request.ContextVersion, request.AppliedForget = s.position.contextNumber.Load(), s.position.forgotNumber.Load()
	request.Leaving, request.Drill = s.position.draining.Load(), s.drills.report(s.clock())
	primary := *s.position.primary.Load()
	request.Primary = primary == "" || primary == address
	request.SubscriptionSequence = 0
	if subscription := s.position.subscription.Load(); subscription.address == address {
		request.SubscriptionSequence = subscription.number
		if subscription.incarnation == request.Incarnation {
			request.RosterVersion = max(request.RosterVersion, subscription.roster)
		}
	}
}

// Ready says whether a configuration has been adopted. Any goroutine may call it.
func (s *FleetState) Ready() bool { return s.fleet.Load().Table != nil }

// Run merges news until the context ends.
func (s *FleetState) Run(ctx context.Context, watcher *Watcher) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-watcher.results:
			if s.handleWatchResult(result) {
				s.publish()
			}
			if !result.failed {
				s.freshness.observe(result.response, result.sentAt, s.position.revision.Load(), result.response.IsFresh(result.sentAt, result.receivedAt))
			}
			result.markHandled()
			if !result.failed {
				watcher.Watch(ctx, result.response.ControlPlanes)
			}
		case <-s.interest.wake:
			s.subscribe(ctx, watcher.peers)
		case result := <-s.subscribeResults:
			if s.handleSubscribeResult(result) {
				s.publish()
			}
			if s.completeFrom(result.address) {
				s.subscribe(ctx, watcher.peers)
			}
		case load := <-s.fleetLoads:
			s.fleetLoad, s.fleetLoadAt = load, s.clock()
			s.publish()
		case <-ticker.C:
			s.choosePrimary()
			s.checkDrill()
			s.subscribe(ctx, watcher.peers)
		}
	}
}

func (s *FleetState) handleWatchResult(result watchResult) bool {
	control := s.controlPeers[result.address]
	if control == nil {
		control = &controlPeer{}
		s.controlPeers[result.address] = control
	}
	if result.failed {
		control.fresh = false
		s.choosePrimary()
		return false
	}
	response, fresh := result.response, result.response.IsFresh(result.sentAt, result.receivedAt)
	control.fresh, control.lastSeen, control.revision, control.edgeCount, control.secondary = fresh, result.receivedAt, response.Revision, response.DataPlaneCount, result.secondary
	changed := false
	if fresh && s.acceptable(response) {
		changed = s.adopt(response)
		s.lastConfirmed.Store(&result.receivedAt)
		changed = s.handleDrill(result) || changed
	}
	control.zone, control.presentEdges, control.presentKnown = response.Zone, response.EarlyDataPlaneCount, response.CountReliable
	if fresh && s.quotas != nil {
		count, known := s.presentEdgeCount()
		s.quotas.handleUpdate(response, count, known, result.sentAt)
	}
	s.choosePrimary()
	return s.handleEndpointSets(result.address, control, response, result.receivedAt, fresh) || changed
}

// believable says whether news may bring the first configuration of this life: only if contact
// with a majority was proven after this data plane asked. Later ones only ever rise.
func (s *FleetState) acceptable(response peer.WatchResponse) bool {
	return response.Linearizable || s.position.revision.Load() > 0
}

func (s *FleetState) adopt(response peer.WatchResponse) bool {
	changed := false
	if len(response.PackedConfiguration) > 0 && response.Revision > s.position.revision.Load() {
		document, err := configuration.Decompress(response.PackedConfiguration)
		if err != nil {
			logrus.WithError(err).Error("configuration from control daemon cannot be unpacked")
			return false
		}
		decoded, err := configuration.Decode(document)
		if err != nil {
			logrus.WithError(err).Error("configuration from control daemon cannot be read")
			return false
		}
		s.table = configuration.NewTable(decoded, nil)
		if s.quotas != nil {
			s.quotas.setLimits(decoded.Tenants)
		}
		s.position.revision.Store(decoded.Revision)
		if s.Recorder != nil {
			s.Recorder.Write(requestlog.Entry{Kind: requestlog.KindConfiguration, AtMs: s.Recorder.OffsetMs(s.clock()), PackedConfiguration: redacted(document)})
		}
		logrus.WithField("revision", decoded.Revision).Info("configuration adopted")
		changed = true
	}
	if response.Context != nil {
		s.adoptContextRules(*response.Context)
	}
	total := uint64(0)
	for zone, state := range response.Zones {
		if state.Version > s.zones[zone].Version {
			s.zones[zone] = state
			changed = true
			logrus.WithFields(logrus.Fields{"zone": zone, "drained": state.Drained}).Info("zone evacuation followed")
		}
	}
	for _, state := range s.zones {
		total += state.Version
	}
	s.position.zoneVersion.Store(total)
	return changed
}

func (s *FleetState) publish() {
	fleet := &routing.Snapshot{Table: s.table, DrainedZones: map[string]bool{}, DataPlanes: s.edgeCount(), ListedAt: s.endpointsAsOf, PeerLoads: s.fleetLoad.Replicas, PeerLoadsAt: s.fleetLoadAt, PeerOutcomes: s.fleetLoad.Total, Drill: s.drills.drill}
	for zone, state := range s.zones {
		fleet.DrainedZones[zone] = state.Drained
	}
	fleet.Replicas = s.replicas
	s.fleet.Store(fleet)
	s.recordFleet(fleet)
	s.onChange()
}
