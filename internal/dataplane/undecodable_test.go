package dataplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// pipeNetwork is an in-memory network with a single listener, which accepts the connections to any address.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (n *pipeNetwork) DialFunc(time.Duration, time.Duration) peer.DialFunc {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		near, far := net.Pipe()
		select {
		case n.accepted <- far:
			return near, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *pipeNetwork) Listen(string) (net.Listener, error) { return n, nil }

func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case connection := <-n.accepted:
		return connection, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *pipeNetwork) Close() error {
	n.close.Do(func() { close(n.closed) })
	return nil
}

func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// watchControlPlane runs a FleetState for the given duration against a control plane whose responses come from respond, and
// returns it.
func watchControlPlane(t *testing.T, duration time.Duration, respond func(request peer.WatchRequest) peer.WatchResponse) *FleetState {
	network := newPipeNetwork()
	server := &http.Server{Handler: peer.Handler(func(_ context.Context, request peer.WatchRequest) peer.WatchResponse {
		return respond(request)
	})}
	listener, err := network.Listen("")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	client := peer.NewClient(network)
	state := NewFleetState(FleetStateOptions{
		Settings: nodesettings.Settings{NodeName: "edge", Zone: "north", HeartbeatMs: 1000},
		Clock:    time.Now,
		Snapshot: &atomic.Pointer[routing.Snapshot]{},
		UpdateLedger: func(change func(*routing.PrefixLedger)) {
			change(routing.NewPrefixLedger(1, time.Minute))
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	watcher := NewWatcher(client, time.Now, state)
	var running sync.WaitGroup
	running.Go(func() { state.Run(ctx, watcher, client) })
	watcher.Watch(ctx, []string{"control:1"})
	time.Sleep(duration)
	cancel()
	_ = server.Close()
	running.Wait()
	watcher.Wait()
	return state
}

func TestWatcher_PausesAfterConfigurationThatCannotBeDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var polls atomic.Int64
		state := watchControlPlane(t, 2*time.Second, func(request peer.WatchRequest) peer.WatchResponse {
			polls.Add(1)
			response := peer.WatchResponse{
				Incarnation:  "life",
				FreshMs:      1000,
				Linearizable: true,
				Revision:     9,
				ZoneVersion:  3,
				Zones:        map[string]peer.ZoneState{"south": {Version: 3, Drained: true}},
				Context:      &peer.ContextUpdate{Version: 4, MaxAgeMs: 60_000},
			}
			if request.Revision < response.Revision {
				response.CompressedConfiguration = []byte("no configuration")
			}
			return response
		})
		assert.Assert(t, polls.Load() <= 8, "%d polls in 2 s", polls.Load())
		south := map[string]peer.ZoneState{"south": {Version: 3, Drained: true}}
		assert.DeepEqual(t, state.adopted.zones, south)
		assert.Equal(t, state.position.contextVersion.Load(), uint64(4), "the other parts of the response are adopted")
		assert.Equal(t, state.position.revision.Load(), int64(0))
	})
}
