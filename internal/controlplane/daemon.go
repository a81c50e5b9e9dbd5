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

	"ferryspar/internal/controlstate"
	"ferryspar/internal/event"
	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/operator"
	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
	"ferryspar/internal/retention"
)

const placementLease = keystore.LeasePrefix + "placement"

// Daemon is one control plane: member of the keystore, source of news for data planes, server of the
// operator's calls, and, while it holds the lease, the one that places models.
type Daemon struct {
	settings   nodesettings.Settings
	path       string
	self       string
	life       string
	clock      func() time.Time
	peers      *peer.Client
	acceptor   *keystore.Acceptor
	journal    *keystore.WAL
	store      *keystore.Store
	state      *controlstate.State
	publisher  *Publisher
	confirmer  *confirmer
	parts      *EndpointPublisher
	sums       *LoadAggregator
	dense      loadPacker
	exchanged  unpackedPeers
	greetings  uint64
	shares     atomic.Uint64
	applied    sync.Mutex
	shown      map[string]keystore.Register
	watching   sync.Mutex
	edges      *heartbeat.Registry
	controls   *heartbeat.Registry
	joining    map[string]peer.Heartbeat
	neighbours map[string]string
	remembered map[string]retention.DataPlaneView
	list       *platform.List
	merger     platform.Merger
	scheduler  *Scheduler
	roster     rosterState
	bus        *event.Bus
	leaving    chan struct{}
	caughtUp   chan struct{}
	started    time.Time
	network    peer.Network
	forecasts  forecasts
	drills     drills
	// membersChange is the last change of the members that this daemon committed.
	membersChange atomic.Pointer[operator.MembersChange]
	// founding holds the last keystore.BootstrapVerdict.
	founding atomic.Value
}

func nonce() uint64 {
	var content [8]byte
	_, _ = rand.Read(content[:])
	return binary.BigEndian.Uint64(content[:])
}

const (
	ringFiles    = keystore.SegmentCount
	smallestRing = 1 << 20
	largestRing  = 12 << 20
)

func ringBytes(diskMb float64) int64 {
	return int64(min(max(diskMb*(1<<20)/8, smallestRing), largestRing))
}

// New opens the disk and puts the daemon together. A disk that is empty, or has lost a file, makes a
// member without a vote, unless the whole system starts for the first time. Such a member catches up
// from the others, or founds the system with them if all of them are as it is.
func New(settings nodesettings.Settings, path string, network peer.Network, folder keystore.Directory) (*Daemon, error) {
	journal, err := openJournal(folder, ringBytes(settings.Limits.DiskMb))
	if err != nil {
		return nil, err
	}
	self := settings.PeerAddress()
	empty := len(journal.State()) == 0
	fresh := empty && settings.Bootstrap && journal.Damage() == nil
	seeds := settings.SeedPeers()
	founding := keystore.BootstrapMembership(seeds)
	if empty {
		first := keystore.WipedRegisters(nonce())
		if fresh && founding.Contains(self) {
			first = keystore.BootstrapRegisters(founding, nonce())
		}
		if err := journal.Append(first); err != nil {
			return nil, errors.Wrap(err, "first write")
		}
	}
	life := nonce()
	daemon := &Daemon{
		settings: settings, path: path, self: self, life: strconv.FormatUint(life, 36), clock: time.Now, peers: peer.NewClient(network),
		journal: journal, publisher: NewPublisher(), parts: NewEndpointPublisher(), sums: NewLoadAggregator(), shown: map[string]keystore.Register{}, joining: map[string]peer.Heartbeat{}, neighbours: map[string]string{}, remembered: map[string]retention.DataPlaneView{},
		edges: heartbeat.NewRegistry(10 * time.Second), controls: heartbeat.NewRegistry(30 * time.Second), leaving: make(chan struct{}), caughtUp: make(chan struct{}, 1), bus: event.NewBus(), started: time.Now(), network: network,
	}
	rules := keystore.AcceptorConfig{LeaseDuration: daemon.leaseLength(), Clock: time.Now, Seeds: seeds}
	daemon.acceptor = keystore.NewAcceptor(self, journal, rules, fresh)
	members := daemon.acceptor.Membership()
	if members.Version == 0 && fresh {
		members = founding
	}
	wire := &peer.KeystoreTransport{Self: self, Client: daemon.peers, Acceptor: daemon.acceptor}
	daemon.store = keystore.NewStore(self, life, wire, members)
	daemon.state = &controlstate.State{Store: daemon.store, Zones: settings.Zones, Clock: time.Now}
	daemon.confirmer = newConfirmer(daemon)
	daemon.list = &platform.List{Address: settings.CloudAPI.Address, Client: &http.Client{Transport: peer.NewTransport(network, 500*time.Millisecond, 1500*time.Millisecond, 2)}}
	daemon.scheduler = NewScheduler(daemon)
	return daemon, nil
}

func (d *Daemon) leaseLength() time.Duration {
	return max(nodesettings.Milliseconds(d.settings.TimingBounds.LeaseMs)/2, 500*time.Millisecond)
}

// Run serves until the parent ends, a server fails, or a signal to stop has been obeyed.
func (d *Daemon) Run(parent context.Context, signals nodesettings.Signals) error {
	ctx, cancel := context.WithCancel(parent)
	var cleanup []func()
	defer func() {
		for position := len(cleanup) - 1; position >= 0; position-- {
			cleanup[position]()
		}
	}()
	cleanup = append(cleanup, cancel)
	go d.acceptor.Run(ctx, d.journal)
	inner, err := d.network.Listen(d.self)
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	cleanup = append(cleanup, func() { inner.Close() })
	outer, err := d.network.Listen(d.settings.BindAddresses.ControlPlane)
	if err != nil {
		return errors.Wrap(err, "control plane address")
	}
	cleanup = append(cleanup, func() { outer.Close() })
	failures := make(chan error, 2)
	peerServer := &http.Server{Handler: d.peerRoutes(), IdleTimeout: time.Minute}
	operatorServer := &http.Server{Handler: d.operatorRoutes(), IdleTimeout: time.Minute, ReadHeaderTimeout: 10 * time.Second}
	go func() { failures <- peerServer.Serve(inner) }()
	go func() { failures <- operatorServer.Serve(outer) }()
	if err := d.followEvents(ctx); err != nil {
		return err
	}
	cleanup = append(cleanup, d.bus.Close)
	loops := []func(context.Context){d.confirmer.run, d.greetLoop, d.membersLoop, d.rosterLoop, d.scheduler.Run, d.runLoadExchange, d.drillLoop,
		func(ctx context.Context) {
			nodesettings.Watch(ctx, d.path, "control", signals.Hangup, func(fresh nodesettings.Settings) { d.noteControls(fresh.SeedPeers()) })
		}}
	for _, loop := range loops {
		go loop(ctx)
	}
	logrus.WithFields(logrus.Fields{"control_plane": outer.Addr().String(), "partner": d.self, "members": d.store.Membership().Current}).Info("control plane listens")
	select {
	case <-parent.Done():
		return nil
	case err := <-failures:
		return err
	case <-signals.Stop:
		d.leave(operatorServer, peerServer)
		return nil
	}
}

func (d *Daemon) noteControls(addresses []string) {
	d.watching.Lock()
	defer d.watching.Unlock()
	for _, address := range addresses {
		if address != d.self {
			d.controls.Record(address, heartbeat.Heartbeat{ReportedAt: d.clock().Add(-5 * time.Second)})
		}
	}
}
