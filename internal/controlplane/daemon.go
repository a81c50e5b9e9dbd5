package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/discovery"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

const placementLease = keystore.LeasePrefix + "placement"

// Node is one control plane: member of the keystore, source of news for data planes, server of the
// operator's calls, and, while it holds the lease, the one that places models.
type Node struct {
	settings           nodesettings.Settings
	path               string
	self               string
	incarnation        string
	clock              func() time.Time
	peers              *peer.Client
	acceptor           *keystore.Acceptor
	wal                *keystore.WAL
	store              *keystore.Store
	state              *controlstate.State
	publisher          *watch.Publisher
	confirmer          *confirmer
	endpoints          *watch.EndpointPublisher
	watchServer        *watch.Server
	loads              *demand.LoadAggregator
	loadExchange       *demand.Exchange
	heartbeatsSent     uint64
	rosterUpdates      atomic.Uint64
	applyLock          sync.Mutex
	appliedRegisters   map[string]keystore.Register
	watchLock          sync.Mutex
	dataPlanes         *heartbeat.Registry
	controlNodes       *heartbeat.Registry
	lastHeartbeats     map[string]peer.Heartbeat
	dataPlaneAddresses map[string]string
	dataPlaneRetention map[string]retention.DataPlaneView
	discovery          *discovery.Client
	listMerger         discovery.Merger
	scheduler          *Scheduler
	roster             rosterState
	bus                *eventbus.Bus
	leaving            chan struct{}
	caughtUp           chan struct{}
	startedAt          time.Time
	network            peer.Network
	forecasts          forecasts
	drills             drillReports
	// membershipChange is the last change of the members that this daemon committed.
	membershipChange atomic.Pointer[adminapi.MembershipChange]
	// founding holds the last keystore.BootstrapVerdict.
	bootstrapVerdict atomic.Value
}

func nonce() uint64 {
	var content [8]byte
	_, _ = rand.Read(content[:])
	return binary.BigEndian.Uint64(content[:])
}

const (
	walSegments     = keystore.SegmentCount
	minSegmentBytes = 1 << 20
	maxSegmentBytes = 12 << 20
)

func segmentBytes(diskMb float64) int64 {
	return int64(min(max(diskMb*(1<<20)/8, minSegmentBytes), maxSegmentBytes))
}

// New opens the disk and puts the daemon together. A disk that is empty, or has lost a file, makes a
// member without a vote, unless the whole system starts for the first time. Such a member catches up
// from the others, or founds the system with them if all of them are as it is.
func New(settings nodesettings.Settings, path string, network peer.Network, directory keystore.Directory) (*Node, error) {
	wal, err := openWAL(directory, segmentBytes(settings.Limits.DiskMb))
	if err != nil {
		return nil, err
	}
	self := settings.PeerAddress()
	empty := len(wal.State()) == 0
	fresh := empty && settings.Bootstrap && wal.Damage() == nil
	seeds := settings.SeedPeers()
	bootstrapMembership := keystore.BootstrapMembership(seeds)
	if empty {
		first := keystore.WipedRegisters(nonce())
		if fresh && bootstrapMembership.Contains(self) {
			first = keystore.BootstrapRegisters(bootstrapMembership, nonce())
		}
		if err := wal.Append(first); err != nil {
			return nil, errors.Wrap(err, "first write")
		}
	}
	incarnation := nonce()
	node := &Node{
		settings: settings, path: path, self: self, incarnation: strconv.FormatUint(incarnation, 36), clock: time.Now, peers: peer.NewClient(network),
		wal: wal, publisher: watch.NewPublisher(), endpoints: watch.NewEndpointPublisher(), loads: demand.NewLoadAggregator(), appliedRegisters: map[string]keystore.Register{}, lastHeartbeats: map[string]peer.Heartbeat{}, dataPlaneAddresses: map[string]string{}, dataPlaneRetention: map[string]retention.DataPlaneView{},
		dataPlanes: heartbeat.NewRegistry(10 * time.Second), controlNodes: heartbeat.NewRegistry(30 * time.Second), leaving: make(chan struct{}), caughtUp: make(chan struct{}, 1), bus: eventbus.New(), startedAt: time.Now(), network: network,
	}
	config := keystore.AcceptorConfig{LeaseDuration: node.leaseLength(), Clock: time.Now, Seeds: seeds}
	node.acceptor = keystore.NewAcceptor(self, wal, config, fresh)
	members := node.acceptor.Membership()
	if members.Version == 0 && fresh {
		members = bootstrapMembership
	}
	transport := &peer.KeystoreTransport{Self: self, Client: node.peers, Acceptor: node.acceptor}
	node.store = keystore.NewStore(self, incarnation, transport, members)
	node.state = &controlstate.State{Store: node.store, Zones: settings.Zones, Clock: time.Now}
	node.confirmer = newConfirmer(node)
	identity := watch.Identity{Member: self, Zone: settings.Zone, Incarnation: node.incarnation}
	node.watchServer = watch.NewServer(identity, watchedNode{node}, node.publisher, node.endpoints, node.clock)
	node.discovery = &discovery.Client{Address: settings.CloudAPI.Address, HTTPClient: &http.Client{Transport: peer.NewTransport(network, 500*time.Millisecond, 1500*time.Millisecond, 2)}}
	node.scheduler = NewScheduler(node)
	sender := demand.Sender{Member: self, Incarnation: node.incarnation}
	node.loadExchange = demand.NewExchange(sender, exchangeFleet{node}, node.peers, node.loads, node.scheduler.handleDemand, node.clock)
	return node, nil
}

func (n *Node) leaseLength() time.Duration {
	return max(nodesettings.Milliseconds(n.settings.TimingBounds.LeaseMs)/2, 500*time.Millisecond)
}

// Run serves until the parent ends, a server fails, or a signal to stop has been obeyed.
func (n *Node) Run(parent context.Context, signals nodesettings.Signals) error {
	ctx, cancel := context.WithCancel(parent)
	var cleanup []func()
	defer func() {
		for index := len(cleanup) - 1; index >= 0; index-- {
			cleanup[index]()
		}
	}()
	cleanup = append(cleanup, cancel)
	go n.acceptor.Run(ctx, n.wal)
	peerListener, err := n.network.Listen(n.self)
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	cleanup = append(cleanup, func() { peerListener.Close() })
	adminListener, err := n.network.Listen(n.settings.BindAddresses.ControlPlane)
	if err != nil {
		return errors.Wrap(err, "control plane address")
	}
	cleanup = append(cleanup, func() { adminListener.Close() })
	failures := make(chan error, 2)
	peerServer := &http.Server{Handler: n.peerRoutes(), IdleTimeout: time.Minute}
	adminServer := &http.Server{Handler: n.adminRoutes(), IdleTimeout: time.Minute, ReadHeaderTimeout: 10 * time.Second}
	go func() { failures <- peerServer.Serve(peerListener) }()
	go func() { failures <- adminServer.Serve(adminListener) }()
	if err := n.subscribeEvents(ctx); err != nil {
		return err
	}
	cleanup = append(cleanup, n.bus.Close)
	loops := []func(context.Context){n.confirmer.run, n.runHeartbeats, n.runMembership, n.runRoster, n.scheduler.Run, n.loadExchange.Run, n.runDrillGuard,
		func(ctx context.Context) {
			nodesettings.Watch(ctx, n.path, "control", signals.Hangup, func(fresh nodesettings.Settings) { n.addControlNodes(fresh.SeedPeers()) })
		}}
	for _, loop := range loops {
		go loop(ctx)
	}
	logrus.WithFields(logrus.Fields{"control_plane": adminListener.Addr().String(), "partner": n.self, "members": n.store.Membership().Current}).Info("control plane listens")
	select {
	case <-parent.Done():
		return nil
	case err := <-failures:
		return err
	case <-signals.Stop:
		n.shutdown(adminServer, peerServer)
		return nil
	}
}

func (n *Node) addControlNodes(addresses []string) {
	n.watchLock.Lock()
	defer n.watchLock.Unlock()
	for _, address := range addresses {
		if address != n.self {
			n.controlNodes.Record(address, heartbeat.Heartbeat{ReportedAt: n.clock().Add(-5 * time.Second)})
		}
	}
}
