package controlplane

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/controlplane/applier"
	"ferryspar/internal/controlplane/capacityorder"
	"ferryspar/internal/controlplane/configchange"
	"ferryspar/internal/controlplane/coordinator"
	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/controlplane/drillcontrol"
	"ferryspar/internal/controlplane/fleetsize"
	"ferryspar/internal/controlplane/members"
	"ferryspar/internal/controlplane/roster"
	"ferryspar/internal/controlplane/scheduler"
	"ferryspar/internal/controlplane/singleton"
	"ferryspar/internal/controlplane/usagereport"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/wallclock"
)

// Node is a control-plane node. It is a member of the keystore, sends updates to data planes, serves the admin API and, while it
// holds the placement lease, places models. It assembles and runs its components, each of which owns its state.
type Node struct {
	settings     nodesettings.Settings
	settingsPath string
	// self is the address at which other nodes reach this one.
	self string
	// incarnation identifies this run of the process.
	incarnation string
	// clock is monotonic; startedAt is its reading at the start.
	clock     func() time.Time
	startedAt time.Time
	network   peer.Network
	// peers calls other nodes; bus carries events between the components of this node.
	peers *peer.Client
	bus   *eventbus.Bus

	// Committed state: this member's acceptor, the store replicated over all members, operators' changes of the configuration and
	// zones, and the applier that publishes committed registers.
	acceptor *keystore.Acceptor
	store    *keystore.Store
	state    *controlstate.State
	applier  *applier.Applier
	// configChanges forwards operators' changes of the configuration to the owner of its key.
	configChanges *configchange.Forwarder

	// Coordination calls of applications.
	coordination *coordinator.Router
	groupWatcher *coordinator.GroupWatcher
	itemCapacity *coordinator.Capacity

	// The other control planes and the data planes, the updates sent to them and the load that they report.
	members      *members.Manager
	dataPlanes   *dataplanes.Registry
	fleetSize    *fleetsize.Recorder
	publisher    *watch.Publisher
	endpoints    *watch.EndpointPublisher
	watchServer  *watch.Server
	loads        *demand.LoadAggregator
	loadExchange *demand.Exchange

	// timeOfDay estimates the time of day from the clocks of all control planes.
	timeOfDay *wallclock.Estimator
	// usage holds the counts of tenants' requests, or is nil if the platform wants none. roles runs the duties towards the
	// platform that are performed by one node at a time.
	usage *demand.UsageRelay
	roles *singleton.Runner
	// usageReporter and capacityOrders are roles, and nil unless the platform wants them.
	usageReporter  *usagereport.Reporter
	capacityOrders *capacityorder.Controller

	// Replicas, and drills and forecasts of their loss.
	roster     *roster.Roster
	scheduler  *scheduler.Scheduler
	drills     *drillcontrol.Controller
	forecaster *drillcontrol.Forecaster
}

// nonce returns a random number that identifies a disk, an incarnation or a request.
func nonce() uint64 {
	var content [8]byte
	_, _ = rand.Read(content[:])
	return binary.BigEndian.Uint64(content[:])
}

// New opens the data directory and assembles the node. If the directory is empty or has lost a file, the node becomes a member
// without a vote, unless the whole system starts for the first time. Such a member catches up from the other members, or
// bootstraps the system with them if all of them are in the same state. The settings are reloaded from settingsPath at a hangup
// signal.
func New(settings nodesettings.Settings, settingsPath string, network peer.Network, directory keystore.Directory) (*Node, error) {
	wal, err := openWAL(directory, segmentBytes(settings.Limits.DiskMb))
	if err != nil {
		return nil, errors.Wrap(err, "write-ahead log")
	}
	isBootstrapping, err := initializeWAL(wal, settings)
	if err != nil {
		return nil, err
	}
	incarnation := nonce()
	node := &Node{
		settings:     settings,
		settingsPath: settingsPath,
		self:         settings.PeerAddress(),
		incarnation:  strconv.FormatUint(incarnation, 36),
		clock:        time.Now,
		startedAt:    time.Now(),
		network:      network,
		peers:        peer.NewClient(network),
		publisher:    watch.NewPublisher(),
		endpoints:    watch.NewEndpointPublisher(),
		loads:        demand.NewLoadAggregator(),
		dataPlanes:   dataplanes.NewRegistry(),
		bus:          eventbus.New(),
	}
	node.timeOfDay = wallclock.NewEstimator(node.startedAt)
	node.usage = node.newUsageRelay()
	node.openKeystore(wal, incarnation, isBootstrapping)
	node.applier = applier.New(node.store, node.acceptor, node.publisher, node.clock)
	node.members = node.newMembers()
	node.configChanges = node.newConfigChanges()
	node.openCoordination()
	node.fleetSize = node.newFleetSizeRecorder()
	node.watchServer = node.newWatchServer()
	node.roster = node.newRoster()
	node.scheduler = node.newScheduler()
	node.loadExchange = node.newLoadExchange()
	node.roles = node.newRoles()
	node.drills = node.newDrills()
	node.forecaster = node.newForecaster()
	return node, nil
}

// initializeWAL writes the initial registers of a member whose log is empty, and returns whether the member takes part in
// bootstrapping the system. A member whose disk has lost its state does not, regardless of the settings.
func initializeWAL(wal *keystore.WAL, settings nodesettings.Settings) (isBootstrapping bool, err error) {
	if len(wal.State()) > 0 {
		return false, nil
	}
	isBootstrapping = settings.Bootstrap && wal.Damage() == nil
	membership := keystore.BootstrapMembership(settings.SeedPeers())
	first := keystore.WipedRegisters(nonce())
	if isBootstrapping && membership.Contains(settings.PeerAddress()) {
		first = keystore.BootstrapRegisters(membership, nonce())
	}
	return isBootstrapping, errors.Wrap(wal.Append(first), "first write")
}

// openKeystore creates the acceptor on the write-ahead log, and the store.
func (n *Node) openKeystore(wal *keystore.WAL, incarnation uint64, isBootstrapping bool) {
	seeds := n.settings.SeedPeers()
	config := keystore.AcceptorConfig{
		LeaseDuration: n.leaseDuration(),
		Clock:         n.clock,
		Seeds:         seeds,
	}
	n.acceptor = keystore.NewAcceptor(n.self, wal, config, isBootstrapping)
	membership := n.acceptor.Membership()
	if membership.Version == 0 && isBootstrapping {
		membership = keystore.BootstrapMembership(seeds)
	}
	transport := &peer.KeystoreTransport{Self: n.self, Client: n.peers, Acceptor: n.acceptor}
	n.store = keystore.NewStore(n.self, incarnation, transport, membership)
	n.store.OnChange = logSlowChange
	n.state = &controlstate.State{Store: n.store, Zones: n.settings.Zones, Clock: n.clock}
}

// minLeaseDuration is the minimum duration of a lease.
const minLeaseDuration = 500 * time.Millisecond

// leaseDuration returns the duration of a lease: half of leaseMs of the settings, but at least minLeaseDuration.
func (n *Node) leaseDuration() time.Duration {
	return max(nodesettings.Milliseconds(n.settings.TimingBounds.LeaseMs)/2, minLeaseDuration)
}
