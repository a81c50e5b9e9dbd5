package dataplane

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// loopbackNetwork listens on a free loopback port for any address, and records the actual addresses.
type loopbackNetwork struct {
	peer.HostNetwork
	lock      sync.Mutex
	addresses map[string]string
}

func (l *loopbackNetwork) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.addresses[address] = listener.Addr().String()
	return listener, nil
}

// addressOf returns the actual address of the listener for an address, or "" if there is none yet.
func (l *loopbackNetwork) addressOf(address string) string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.addresses[address]
}

// workersRunning returns the worker functions that are running in this process, found by their stack traces.
func workersRunning() []string {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	var running []string
	for _, name := range []string{"(*FleetState).Run", "(*Watcher).pollLoop", "(*Node).reportLoad", "(*Quotas).Run", "(*Matcher).Run"} {
		if strings.Contains(string(stacks), name) {
			running = append(running, name)
		}
	}
	return running
}

func TestNode_RunStopsWorkersWhenContextEnds(t *testing.T) {
	settings, err := nodesettings.Parse(nil)
	assert.NilError(t, err)
	settings.NodeName, settings.Zone = "edge", "north"
	settings.IPAddress, settings.InternalPorts = "127.0.0.1", []int{1, 1}
	settings.SeedNodes = []string{"127.0.0.1:2"}
	settings.BindAddresses = nodesettings.BindAddresses{DataPlane: "data-plane", Readiness: "readiness"}
	network := &loopbackNetwork{addresses: map[string]string{}}
	node := New(settings, "", network)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx, nodesettings.Signals{}) }()

	readiness := settings.BindAddresses.Readiness
	for network.addressOf(readiness) == "" {
		time.Sleep(time.Millisecond)
	}
	response, err := http.Get("http://" + network.addressOf(readiness) + "/ferryspar/readyz")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, "no configuration yet")
	assert.Assert(t, len(workersRunning()) > 0)

	cancel()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Run does not return")
	}
	assert.DeepEqual(t, workersRunning(), []string(nil))
}
