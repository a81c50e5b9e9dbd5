package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane"
	"ferryspar/internal/dataplane"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	backendName     = "scribes"
	slotsPerReplica = 2
)

// runningNode is a node under test: stop passes signals to it, cancel kills it, done gets the result of its Run.
type runningNode struct {
	stop   chan os.Signal
	cancel context.CancelFunc
	done   chan error
}

// fleet is an in-memory deployment: control-plane nodes ("cores"), data planes ("edges"), stand-in replicas and the
// platform that lists them. The machines are hosts of a memoryNetwork.
type fleet struct {
	t              *testing.T
	network        *memoryNetwork
	lock           sync.Mutex
	replicas       []*standInReplica
	platform       standInPlatform
	nodes          map[string]*runningNode
	directories    map[string]keystore.Directory
	client         *http.Client
	listCalls      int
	listDuration   time.Duration
	pageSize       int
	onPage         func(from int)
	machineLoss    int
	cores          int
	adjustSettings func(settings *nodesettings.Settings)
}

// zones maps each zone to its region.
var zones = map[string]string{"north": "land", "south": "land", "east": "land", "abroad": "far"}

// coreHost is the address of the numbered control-plane node; edgeHost that of the numbered data plane.
func coreHost(number int) string { return fmt.Sprintf("10.%d.0.1", number) }
func edgeHost(number int) string { return fmt.Sprintf("10.%d.1.1", number) }

// startFleet starts three control-plane nodes and data planes, without a configuration.
func startFleet(t *testing.T, edges int, replicas ...*standInReplica) *fleet {
	return startFleetOf(t, 3, 0, edges, replicas...)
}

// startFleetOf starts control-plane nodes that tolerate a number of machine losses, and data planes.
func startFleetOf(t *testing.T, cores, losses, edges int, replicas ...*standInReplica) *fleet {
	logrus.SetOutput(io.Discard)
	f := &fleet{
		t:           t,
		network:     newMemoryNetwork(),
		nodes:       map[string]*runningNode{},
		directories: map[string]keystore.Directory{},
		machineLoss: losses,
		cores:       cores,
	}
	transport := peer.NewTransport(f.network.machine("10.9.9.9"), time.Second, time.Minute, 0)
	transport.DisableKeepAlives = true
	f.client = &http.Client{Transport: transport}
	f.serve("10.200.0.1", "10.200.0.1:80", f.platformRoutes())
	for _, standIn := range replicas {
		f.addReplica(standIn)
	}
	for number := 1; number <= cores; number++ {
		f.startCore(coreHost(number), true, 1, 2, 3)
	}
	for number := 1; number <= edges; number++ {
		f.startEdge(edgeHost(number))
	}
	t.Cleanup(func() {
		f.network.healAll()
		for _, node := range f.nodes {
			node.cancel()
		}
		f.lock.Lock()
		listening := map[string]bool{}
		for _, standIn := range f.replicas {
			listening[hostOf(standIn.listed.Address)] = true
		}
		f.lock.Unlock()
		for host := range listening {
			f.network.resetHost(host)
		}
		f.network.resetHost("10.200.0.1")
		for number := 1; number <= 9; number++ {
			f.network.resetHost(coreHost(number))
			f.network.resetHost(edgeHost(number))
		}
		time.Sleep(2 * time.Minute)
	})
	return f
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

func (f *fleet) serve(host, address string, handler http.Handler) {
	listener, err := f.network.machine(host).Listen(address)
	assert.NilError(f.t, err)
	go func() { _ = http.Serve(listener, handler) }()
}

func (f *fleet) addReplica(standIn *standInReplica) {
	f.lock.Lock()
	f.replicas = append(f.replicas, standIn)
	f.lock.Unlock()
	f.serve(hostOf(standIn.listed.Address), standIn.listed.Address, standIn)
}

func (f *fleet) settings(host string, bootstrap bool, seeds ...int) nodesettings.Settings {
	settings, err := nodesettings.Parse([]byte(""))
	assert.NilError(f.t, err)
	settings.NodeName, settings.IPAddress, settings.Bootstrap = "daemon-"+host, host, bootstrap
	settings.Zones, settings.InternalPorts = zones, []int{7000, 7010}
	settings.Zone = map[byte]string{'1': "north", '2': "south", '3': "east"}[host[3]]
	if settings.Zone == "" {
		settings.Zone = "north"
	}
	for _, seed := range seeds {
		settings.SeedNodes = append(settings.SeedNodes, coreHost(seed)+":8166")
	}
	settings.DataDir = "memory"
	settings.FaultTolerance.MachineLoss = f.machineLoss
	settings.BindAddresses = nodesettings.BindAddresses{DataPlane: host + ":8161", Readiness: host + ":8167", ControlPlane: host + ":8166"}
	settings.CloudAPI = nodesettings.CloudAPI{Address: "10.200.0.1:80", RatePerS: 40, MaxLagMs: 100}
	settings.TimingBounds.RetryBudgetRatio, settings.TimingBounds.RetryBudgetSlack = 0.2, 50
	if f.adjustSettings != nil {
		f.adjustSettings(&settings)
	}
	return settings
}

func (f *fleet) launch(host string, run func(ctx context.Context, signals nodesettings.Signals) error) {
	ctx, cancel := context.WithCancel(context.Background())
	node := &runningNode{stop: make(chan os.Signal, 1), cancel: cancel, done: make(chan error, 1)}
	f.lock.Lock()
	f.nodes[host] = node
	f.lock.Unlock()
	go func() { node.done <- run(ctx, nodesettings.Signals{Stop: node.stop}) }()
}

// startCore starts a control-plane node on the disk that its machine had before, if any.
func (f *fleet) startCore(host string, bootstrap bool, seeds ...int) {
	f.lock.Lock()
	if f.directories[host] == nil {
		f.directories[host] = &memoryDirectory{files: map[string][]byte{}}
	}
	directory := freezableDirectory{f.directories[host], f.network, host}
	f.lock.Unlock()
	daemon, err := controlplane.New(f.settings(host, bootstrap, seeds...), "", f.network.machine(host), directory)
	assert.NilError(f.t, err)
	f.launch(host, daemon.Run)
}

func (f *fleet) startEdge(host string) {
	f.startEdgeWith(host, 1, 2, 3)
}

func (f *fleet) startEdgeWith(host string, seeds ...int) {
	f.launch(host, dataplane.New(f.settings(host, true, seeds...), "", f.network.machine(host)).Run)
}

func (f *fleet) runningNode(host string) *runningNode {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.nodes[host]
}

// kill ends a node at once, without a graceful shutdown, and resets its connections.
func (f *fleet) kill(host string) {
	f.runningNode(host).cancel()
	f.network.resetHost(host)
	time.Sleep(10 * time.Millisecond)
	f.network.resetHost(host)
}

// wipe gives a killed machine an empty disk.
func (f *fleet) wipe(host string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.directories[host] = &memoryDirectory{files: map[string][]byte{}}
}

// losePower discards what a killed machine had not synced to its disk.
func (f *fleet) losePower(host string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.directories[host].(*memoryDirectory).losePower()
}

// terminate sends SIGTERM, waits for the process to end, for at most shutdownTimeout, and returns the time it took.
func (f *fleet) terminate(host string) time.Duration {
	began, node := time.Now(), f.runningNode(host)
	node.stop <- syscall.SIGTERM
	select {
	case <-node.done:
	case <-time.After(shutdownTimeout):
	}
	node.cancel()
	f.network.resetHost(host)
	time.Sleep(networkPoll)
	f.network.resetHost(host)
	return time.Since(began)
}

// loseReplicas removes replicas from the platform list and resets the connections of their machine.
func (f *fleet) loseReplicas(host string, ids ...string) {
	f.lock.Lock()
	f.replicas = slices.DeleteFunc(f.replicas, func(standIn *standInReplica) bool { return slices.Contains(ids, standIn.listed.ID) })
	f.lock.Unlock()
	f.network.resetHost(host)
}

// startTwoRegionFleet starts a settled fleet with two replicas in region "land" and one in "far", and region-bound routes.
func startTwoRegionFleet(t *testing.T, edges int) (*fleet, map[string]*standInReplica) {
	replicas := map[string]*standInReplica{
		"i-1": newStandInReplica("i-1", "10.1.2.1", "north", "swift", "other"),
		"i-2": newStandInReplica("i-2", "10.2.2.1", "south", "swift"),
		"i-3": newStandInReplica("i-3", "10.7.2.1", "abroad", "swift", "rare"),
	}
	f := startSettledFleet(t, edges, replicas["i-1"], replicas["i-2"], replicas["i-3"])
	assert.Equal(t, f.putConfiguration(1, 1, document(2, regionRoutes)).status, http.StatusOK)
	time.Sleep(time.Second)
	return f, replicas
}

// startSettledFleet starts a fleet and waits until its first configuration is in force.
func startSettledFleet(t *testing.T, edges int, replicas ...*standInReplica) *fleet {
	f := startFleet(t, edges, replicas...)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f
}
