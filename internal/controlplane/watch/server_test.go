package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/fleetsize"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// fakeHost is a control plane without data planes.
type fakeHost struct {
	hasJustStarted         bool
	recorded               []string
	requestedConfirmations int
	isLeaving              bool
}

func (h *fakeHost) RecordWatch(request peer.WatchRequest, _ time.Time) {
	h.recorded = append(h.recorded, request.DataPlane)
}

func (h *fakeHost) CountedFor(string, time.Time) (time.Duration, bool) { return time.Second, true }

func (h *fakeHost) CountReliable(time.Time) bool { return !h.hasJustStarted }

func (h *fakeHost) LiveDataPlanesKnown(time.Time) bool { return !h.hasJustStarted }

func (h *fakeHost) RequestConfirmation() { h.requestedConfirmations++ }

func (h *fakeHost) ReplicaLoadsFor(_ string, replicas []string) map[string]peer.ReplicaLoad {
	loads := map[string]peer.ReplicaLoad{}
	for _, id := range replicas {
		loads[id] = peer.ReplicaLoad{Running: 3}
	}
	return loads
}

func (h *fakeHost) IsLeaving() bool { return h.isLeaving }

// testServer is a server of incarnation "a" with its host and publishers.
type testServer struct {
	*Server
	host      *fakeHost
	publisher *Publisher
	endpoints *EndpointPublisher
}

// newTestServer returns a server whose state was confirmed just now.
func newTestServer() testServer {
	host, publisher, endpoints := &fakeHost{}, NewPublisher(), NewEndpointPublisher()
	publisher.Confirm(time.Now(), time.Now())
	identity := Identity{Member: "10.0.0.1:7000", Zone: "north", Incarnation: "a"}
	return testServer{
		Server:    NewServer(identity, host, publisher, endpoints, time.Now),
		host:      host,
		publisher: publisher,
		endpoints: endpoints,
	}
}

// upToDate returns the request of a data plane that was sent the current snapshot.
func (s testServer) upToDate() peer.WatchRequest {
	return peer.WatchRequest{
		DataPlane:   "edge",
		Incarnation: "a",
		Version:     s.publisher.Current().Version,
		MaxWaitMs:   1000,
		Primary:     true,
	}
}

// waitFor sends a request and returns how long it was pending, and the response.
func (s testServer) waitFor(t *testing.T, request peer.WatchRequest) (time.Duration, peer.WatchResponse) {
	t.Helper()
	startedAt := time.Now()
	response := s.HandleWatch(t.Context(), request)
	return time.Since(startedAt), response
}

func TestServer_KeepsRequestPendingUntilChange(t *testing.T) {
	const changeAfter = 300 * time.Millisecond
	cases := map[string]struct {
		request func(request *peer.WatchRequest)
		change  func(server testServer)
		want    time.Duration
	}{
		"no change": {
			want: time.Second,
		},
		"no change, wait above the maximum": {
			request: func(request *peer.WatchRequest) { request.MaxWaitMs = 60_000 },
			want:    maxWaitMs * time.Millisecond,
		},
		"no change, wait of zero": {
			request: func(request *peer.WatchRequest) { request.MaxWaitMs = 0 },
			want:    minWaitMs * time.Millisecond,
		},
		"snapshot changed before the request": {
			request: func(request *peer.WatchRequest) { request.Version-- },
		},
		"incarnation changed": {
			request: func(request *peer.WatchRequest) { request.Incarnation = "before" },
		},
		"snapshot changes": {
			change: func(server testServer) {
				server.publisher.Update(func(next *Snapshot) bool {
					next.LeaseHolder = "10.0.0.2:7000"
					return true
				})
			},
			want: changeAfter,
		},
		"snapshot changes without notification": {
			change: func(server testServer) {
				server.publisher.UpdateWithoutNotify(func(next *Snapshot) { next.DataPlaneCount = 3 })
			},
			want: time.Second,
		},
		"subscribed endpoint set changes": {
			request: func(request *peer.WatchRequest) { request.SubscriptionSequence = 1 },
			change: func(server testServer) {
				server.endpoints.Publish([]discovery.Replica{replicaWith("i-1", "one")}, nil, time.Now())
			},
			want: changeAfter,
		},
		"endpoint set changes, but the data plane has another primary": {
			request: func(request *peer.WatchRequest) { request.Primary = false },
			change: func(server testServer) {
				server.endpoints.Publish([]discovery.Replica{replicaWith("i-1", "one")}, nil, time.Now())
			},
			want: time.Second,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newTestServer()
				server.endpoints.Subscribe(subscribeTo(1, modelKey("one")), time.Now())
				request := server.upToDate()
				if test.request != nil {
					test.request(&request)
				}
				if test.change != nil {
					time.AfterFunc(changeAfter, func() { test.change(server) })
				}
				waited, response := server.waitFor(t, request)
				assert.Equal(t, waited, test.want)
				assert.Equal(t, response.WaitedMs, waited.Milliseconds())
				assert.DeepEqual(t, server.host.recorded, []string{"edge"})
			})
		})
	}
}

func TestServer_LinearizableWaitsForConfirmationAfterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		request := server.upToDate()
		request.Version-- // due at once, except for the confirmation
		request.Linearizable = true
		receivedAt := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { server.publisher.Confirm(receivedAt.Add(-time.Millisecond), time.Now()) })
		time.AfterFunc(300*time.Millisecond, func() { server.publisher.Confirm(receivedAt.Add(time.Millisecond), time.Now()) })
		waited, response := server.waitFor(t, request)
		assert.Equal(t, waited, 300*time.Millisecond, "a confirmation that began before the request doesn't count")
		assert.Assert(t, response.Linearizable)
		assert.Equal(t, server.host.requestedConfirmations, 1)
		waited, response = server.waitFor(t, request)
		assert.Equal(t, waited, time.Second)
		assert.Assert(t, !response.Linearizable, "no confirmation came while the request was pending")
	})
}

func TestServer_SendsStateOnlyWhileConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		server.publisher.Update(func(next *Snapshot) bool {
			next.Revision, next.PackedConfiguration = 7, []byte("packed")
			next.ZoneVersion, next.Zones = 1, map[string]peer.ZoneState{"north": {Version: 1, Drained: true}}
			return true
		})
		_, response := server.waitFor(t, peer.WatchRequest{DataPlane: "edge", Primary: true})
		assert.Equal(t, string(response.CompressedConfiguration), "packed")
		assert.Assert(t, response.Zones["north"].Drained)
		assert.Equal(t, response.FreshMs, peer.ConfirmationLease.Milliseconds())
		assert.Equal(t, response.CountedForMs, int64(1000))
		assert.Assert(t, response.CountReliable)

		_, response = server.waitFor(t, peer.WatchRequest{DataPlane: "edge"})
		assert.Assert(t, response.CompressedConfiguration == nil, "only a data plane's primary sends the configuration")
		assert.Assert(t, response.Zones["north"].Drained)

		time.Sleep(peer.ConfirmationLease)
		_, response = server.waitFor(t, peer.WatchRequest{DataPlane: "edge", Primary: true})
		assert.Equal(t, response.Revision, int64(7))
		assert.Equal(t, response.FreshMs, int64(0))
		assert.Assert(t, response.CompressedConfiguration == nil && response.Zones == nil)
		assert.Assert(t, !server.HandleSubscribe(t.Context(), subscribeTo(1)).IsFresh(time.Now(), time.Now()))
	})
}

func TestServer_NoResponseIsFreshWhileLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		server.host.isLeaving = true
		_, response := server.waitFor(t, peer.WatchRequest{DataPlane: "edge", Primary: true})
		assert.Equal(t, response.FreshMs, int64(0))
		subscribed := server.HandleSubscribe(t.Context(), subscribeTo(1, modelKey("one")))
		assert.DeepEqual(t, subscribed, peer.SubscribeResponse{Incarnation: "a"})
		assert.Assert(t, server.endpoints.SubscribedReplicas("edge").IDs == nil)
	})
}

func TestServer_SubscribeReturnsLoadOfAddedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		listed := []discovery.Replica{
			{ID: "i-1", Backend: "s", Models: []discovery.LoadedModel{{Name: "one"}}},
			{ID: "i-2", Backend: "s", Models: []discovery.LoadedModel{{Name: "two"}}},
		}
		server.endpoints.Publish(listed, nil, time.Now())
		request := subscribeTo(1, modelKey("one"))
		request.Reset = true
		response := server.HandleSubscribe(t.Context(), request)
		assert.DeepEqual(t, response.Loads, map[string]peer.ReplicaLoad{"i-1": {Running: 3}})
		known := server.endpoints.SubscribedReplicas("edge")
		assert.DeepEqual(t, known.IDs, []string{"i-1"})
		listed[1].Models = append(listed[1].Models, discovery.LoadedModel{Name: "one"})
		server.endpoints.Publish(append([]discovery.Replica{}, listed...), nil, time.Now())
		assert.DeepEqual(t, server.endpoints.SubscribedReplicas("edge").IDs, []string{"i-1", "i-2"})
		assert.Assert(t, server.endpoints.SubscribedReplicas("edge").Digest != known.Digest)
	})
}

func TestServer_RequestEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		response := server.HandleWatch(ctx, server.upToDate())
		assert.DeepEqual(t, response, peer.WatchResponse{})
		assert.Assert(t, !response.IsFresh(time.Now(), time.Now()))
	})
}

func TestServer_UsesRecordedFleetUntilAllDataPlanesAreKnown(t *testing.T) {
	server := newTestServer()
	homes := []peer.Neighbour{{Name: "edge-1", Address: "10.0.0.9:1"}, {Name: "edge-2", Address: "10.0.0.8:1"}}
	server.publisher.UpdateWithoutNotify(func(next *Snapshot) {
		next.FleetSize = fleetsize.Record{DataPlanes: 79, Homes: homes}
		next.DataPlaneCount = 3
		next.Neighbours = peer.NewNeighbours(homes[:1])
	})
	respond := func() peer.WatchResponse {
		response, _ := server.respond(server.publisher.Current(), server.upToDate(), time.Now())
		return response
	}
	settled := respond()
	assert.Equal(t, settled.DataPlaneCount, 3)
	assert.Equal(t, len(settled.Neighbours.List), 1)

	server.host.hasJustStarted = true
	early := respond()
	assert.Equal(t, early.DataPlaneCount, 79)
	assert.Equal(t, early.EarlyDataPlaneCount, 79)
	assert.DeepEqual(t, early.Neighbours.List, homes)

	server.publisher.UpdateWithoutNotify(func(next *Snapshot) { next.DataPlaneCount = 90 })
	assert.Equal(t, respond().DataPlaneCount, 90, "a higher live count is used")
}

func TestServer_SendsDifferencesToDataPlanesThatSupportThem(t *testing.T) {
	change := func(base, revision int64) *configuration.Delta {
		return &configuration.Delta{Base: base, Revision: revision, Patch: []byte(`{"revision":1}`)}
	}
	snapshot := &Snapshot{ConfirmedAt: time.Now(), PackedConfiguration: make([]byte, 200)}
	for revision := int64(1); revision <= 3; revision++ {
		snapshot.AddDifference(change(10*(revision-1), 10*revision))
		snapshot.Revision = 10 * revision
	}
	respond := func(revision int64, takesDifferences bool) (differences int, whole bool) {
		response := peer.WatchResponse{}
		addConfiguration(&response, snapshot, peer.WatchRequest{Revision: revision, AcceptsDeltas: takesDifferences})
		return len(response.Deltas), len(response.CompressedConfiguration) > 0
	}
	cases := map[string]struct {
		revision    int64
		takes       bool
		differences int
	}{
		"one revision behind":        {20, true, 1},
		"two revisions behind":       {10, true, 2},
		"differences not supported":  {20, false, 0},
		"a revision not in the list": {15, true, 0},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			differences, whole := respond(testCase.revision, testCase.takes)
			assert.Equal(t, differences, testCase.differences)
			assert.Equal(t, whole, testCase.differences == 0, "the whole configuration instead of differences")
		})
	}
	t.Run("differences as large as the whole configuration", func(t *testing.T) {
		snapshot.PackedConfiguration = make([]byte, 20)
		differences, whole := respond(10, true)
		assert.Equal(t, differences, 0)
		assert.Assert(t, whole)
	})
}

func TestSnapshot_KeepsOnlyUnbrokenChainOfDifferences(t *testing.T) {
	snapshot := &Snapshot{}
	for revision := int64(1); revision <= 100; revision++ {
		snapshot.AddDifference(&configuration.Delta{Base: revision - 1, Revision: revision})
		snapshot.Revision = revision
	}
	assert.Equal(t, len(snapshot.Differences), maxDifferences)
	shared := snapshot.Differences
	snapshot.AddDifference(&configuration.Delta{Base: 100, Revision: 101})
	assert.Equal(t, shared[0].Revision, int64(37), "earlier snapshots keep their differences")
	snapshot.Revision = 101
	snapshot.AddDifference(&configuration.Delta{Base: 104, Revision: 105})
	assert.Equal(t, len(snapshot.Differences), 0, "a revision was missed")
}
