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

// Node is one control-plane node: member of the keystore, source of updates for data planes, server of
// the admin API, and, while it holds the placement lease, the one that places models. It puts its parts
// together and runs them; each part owns its state.
type Node struct {
	settings     nodesettings.Settings
	settingsPath string
	// self is the address at which other nodes reach this one.
	self string
	// incarnation names this start of the process.
	incarnation string
	// clock is steady; startedAt is its reading at the start.
	clock     func() time.Time
	startedAt time.Time
	network   peer.Network
	// peers calls other nodes; bus carries events between the parts of this one.
	peers *peer.Client
	bus   *eventbus.Bus

	// Committed state: this member's acceptor and the store over all members, the operators' changes of
	// the configuration and zones, and what is published of the rest.
	acceptor *keystore.Acceptor
	store    *keystore.Store
	state    *controlstate.State
	applier  *applier.Applier
	// configChanges has operators' changes of the configuration carried out at the owner of its key.
	configChanges *configchange.Forwarder

	// Calls by which applications coordinate.
	coordination *coordinator.Router
	watches      *coordinator.GroupWatcher
	itemCapacity *coordinator.Capacity

	// The rest of the control plane and the data planes, and what they are sent and report.
	members      *members.Manager
	dataPlanes   *dataplanes.Registry
	fleetSize    *fleetsize.Recorder
	publisher    *watch.Publisher
	endpoints    *watch.EndpointPublisher
	watchServer  *watch.Server
	loads        *demand.LoadAggregator
	loadExchange *demand.Exchange

	// timeOfDay is that on which the control planes agree.
	timeOfDay *wallclock.Estimator
	// usage holds the counts of tenants' requests, or is nil if none are wanted; roles makes the calls that one node owes the platform.
	usage *demand.UsageRelay
	roles *singleton.Runner
	// usageReporter and capacityOrders are those of the roles that the platform wants; the others are nil.
	usageReporter  *usagereport.Reporter
	capacityOrders *capacityorder.Controller

	// Replicas, and what operators rehearse with them.
	roster     *roster.Roster
	scheduler  *scheduler.Scheduler
	drills     *drillcontrol.Controller
	forecaster *drillcontrol.Forecaster
}

// nonce returns a random number that names a disk, an incarnation or a request.
func nonce() uint64 {
	var content [8]byte
	_, _ = rand.Read(content[:])
	return binary.BigEndian.Uint64(content[:])
}

// New opens the disk and puts the node together. A disk that is empty, or has lost a file, makes a
// member without a vote, unless the whole system starts for the first time. Such a member catches up
// from the others, or bootstraps the system with them if all of them are in the same state. The
// settings are read again from settingsPath at a hangup signal.
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

// initializeWAL writes the first registers of a member whose log is empty, and returns whether it takes
// part in bootstrapping the system: a disk that lost its state does not, whatever the settings say.
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

// openKeystore makes the acceptor and the store over the write-ahead log.
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

// minLeaseDuration is the shortest time that a lease is granted for.
const minLeaseDuration = 500 * time.Millisecond

// leaseDuration is how long a lease lasts: half of the settings' leaseMs.
func (n *Node) leaseDuration() time.Duration {
	return max(nodesettings.Milliseconds(n.settings.TimingBounds.LeaseMs)/2, minLeaseDuration)
}
