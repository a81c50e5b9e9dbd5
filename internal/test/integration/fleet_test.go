package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane"
	"ferryspar/internal/dataplane"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
)

const (
	serviceName     = "scribes"
	slotsPerReplica = 2
)

type runningNode struct {
	stop   chan os.Signal
	cancel context.CancelFunc
	done   chan error
}

type fleet struct {
	t            *testing.T
	network      *memoryNetwork
	lock         sync.Mutex
	replicas     []*standInReplica
	nodes        map[string]*runningNode
	folders      map[string]keystore.Directory
	client       *http.Client
	listed       int
	listDuration time.Duration
	pageSize     int
	paged        func(from int)
	losses       int
	cores        int
	adjust       func(settings *nodesettings.Settings)
}

var zones = map[string]string{"north": "land", "south": "land", "east": "land", "abroad": "far"}

func coreHost(number int) string { return fmt.Sprintf("10.%d.0.1", number) }
func edgeHost(number int) string { return fmt.Sprintf("10.%d.1.1", number) }

func startFleet(t *testing.T, edges int, replicas ...*standInReplica) *fleet {
	return startFleetOf(t, 3, 0, edges, replicas...)
}

// startFleetOf starts control daemons that are to bear a number of losses, and data planes.
func startFleetOf(t *testing.T, cores, losses, edges int, replicas ...*standInReplica) *fleet {
	logrus.SetOutput(io.Discard)
	f := &fleet{
		t:       t,
		network: newMemoryNetwork(),
		nodes:   map[string]*runningNode{},
		folders: map[string]keystore.Directory{},
		losses:  losses,
		cores:   cores,
	}
	transport := peer.NewTransport(f.network.machine("10.9.9.9"), time.Second, time.Minute, 0)
	transport.DisableKeepAlives = true
	f.client = &http.Client{Transport: transport}
	f.serve("10.200.0.1", "10.200.0.1:80", http.HandlerFunc(f.list))
	for _, standIn := range replicas {
		f.add(standIn)
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
			f.network.resetAll(host)
		}
		f.network.resetAll("10.200.0.1")
		for number := 1; number <= 9; number++ {
			f.network.resetAll(coreHost(number))
			f.network.resetAll(edgeHost(number))
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

func (f *fleet) add(standIn *standInReplica) {
	f.lock.Lock()
	f.replicas = append(f.replicas, standIn)
	f.lock.Unlock()
	f.serve(hostOf(standIn.listed.Address), standIn.listed.Address, standIn)
}

func (f *fleet) list(writer http.ResponseWriter, request *http.Request) {
	f.lock.Lock()
	replicas := append([]*standInReplica(nil), f.replicas...)
	f.listed++
	took := f.listDuration
	f.lock.Unlock()
	time.Sleep(took)
	_ = json.NewEncoder(writer).Encode(f.pageOf(replicas, request.URL.Query().Get("pageToken")))
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
	settings.FaultTolerance.MachineLoss = f.losses
	settings.BindAddresses = nodesettings.BindAddresses{DataPlane: host + ":8161", Readiness: host + ":8167", ControlPlane: host + ":8166"}
	settings.CloudAPI = nodesettings.CloudAPI{Address: "10.200.0.1:80", RatePerS: 40, MaxLagMs: 100}
	settings.TimingBounds.RetryBudgetRatio, settings.TimingBounds.RetryBudgetSlack = 0.2, 50
	if f.adjust != nil {
		f.adjust(&settings)
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

func (f *fleet) startCore(host string, bootstrap bool, seeds ...int) {
	f.lock.Lock()
	if f.folders[host] == nil {
		f.folders[host] = &memoryDirectory{files: map[string][]byte{}}
	}
	folder := freezableDirectory{f.folders[host], f.network, host}
	f.lock.Unlock()
	daemon, err := controlplane.New(f.settings(host, bootstrap, seeds...), "", f.network.machine(host), folder)
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

func (f *fleet) kill(host string) {
	f.runningNode(host).cancel()
	f.network.resetAll(host)
	time.Sleep(10 * time.Millisecond)
	f.network.resetAll(host)
}

type reply struct {
	status int
	body   string
	header http.Header
	cut    bool
	took   time.Duration
}

func (f *fleet) call(method, address, path, body string, header map[string]string) reply {
	began := time.Now()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host := header["Host"]; host != "" {
		request.Host = host
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return reply{cut: true, took: time.Since(began)}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return reply{answer.StatusCode, string(content), answer.Header, err != nil, time.Since(began)}
}

func (f *fleet) put(core, condition, _ int, document string) reply {
	return f.call(
		http.MethodPut,
		coreHost(core)+":8166",
		"/ferryspar/config",
		document,
		map[string]string{"If-Match": fmt.Sprint(condition)},
	)
}

func (f *fleet) request(edge int, attempt, path, model string) reply {
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host": "shop.example", replica.HeaderAttempt: attempt, replica.HeaderModel: model, replica.HeaderTokens: "100,20",
		replica.HeaderPrefix: "aa:60,bb:40", replica.HeaderRemaining: "20000",
	})
}

func allEvents() string {
	var whole strings.Builder
	for number := 1; number <= 5; number++ {
		fmt.Fprintf(&whole, "id: %d\ndata: piece %d\n\n", number, number)
	}
	return whole.String()
}
