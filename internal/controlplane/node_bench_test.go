package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

func newBenchNode(b *testing.B) *Node {
	settings, err := nodesettings.Parse(nil)
	assert.NilError(b, err)
	settings.NodeName = "daemon-1"
	settings.IPAddress = "10.0.0.1"
	settings.InternalPorts = []int{7000, 7010}
	settings.Bootstrap = true
	settings.SeedNodes = []string{"10.0.0.1:8166"}
	settings.CloudAPI.Address = "10.0.0.9:80"
	settings.Zones = map[string]string{"north": "land"}
	settings.Zone = "north"
	directory, err := keystore.NewDirectory(b.TempDir())
	assert.NilError(b, err)
	node, err := New(settings, "", peer.HostNetwork{}, directory)
	assert.NilError(b, err)
	node.publisher.Update(func(next *watch.Snapshot) bool {
		next.ConfirmedAt = time.Now().Add(time.Hour)
		next.DataPlaneCount = 80
		next.LeaseHolder = "10.0.0.1:7000"
		next.ControlPlanes = []string{"10.0.0.1:7000"}
		return true
	})
	return node
}

func benchRoster(replicas, turn int) []discovery.Replica {
	var list []discovery.Replica
	for index := range replicas {
		replica := discovery.Replica{
			ID:       fmt.Sprintf("i-%08x", index),
			Backend:  "writers",
			Address:  fmt.Sprintf("10.1.%d.%d:8080", index/200, index%200),
			Zone:     "north",
			Revision: "v1",
			Slots:    64,
			State:    "ready",
			Phase:    "unified",
		}
		for slot := range 2 {
			replica.Models = append(replica.Models, discovery.LoadedModel{
				Name:     fmt.Sprintf("model%04d", 2*index+slot),
				Revision: 1,
				Adapters: []string{"a1", "a2"},
			})
		}
		list = append(list, replica)
	}
	if turn%2 == 1 {
		list[0].Models = list[0].Models[:1]
	}
	return list
}

func postJSON(b *testing.B, routes http.Handler, method peer.Method, message any) int {
	content, err := json.Marshal(message)
	assert.NilError(b, err)
	writer := httptest.NewRecorder()
	routes.ServeHTTP(writer, httptest.NewRequest(http.MethodPost, method.Path(), bytes.NewReader(content)))
	assert.Equal(b, writer.Code, http.StatusOK)
	return writer.Body.Len()
}

func subscribeAll(b *testing.B, routes http.Handler, edges, replicas int) {
	for edge := range edges {
		request := peer.SubscribeRequest{DataPlane: fmt.Sprintf("edge-%03d", edge), Sequence: 1, Reset: true}
		for _, model := range testReport(edge, replicas).Models {
			request.Add = append(request.Add, peer.EndpointKey{Backend: model.Backend, Model: model.Model})
		}
		postJSON(b, routes, peer.MethodSubscribe, request)
	}
}

const (
	reportedReplicas = 30
	reportedModels   = 20
	mediumFleet      = 80
)

func testReport(dataPlane, replicas int) peer.LoadReport {
	report := peer.LoadReport{
		DataPlane: fmt.Sprintf("edge-%03d", dataPlane),
		Zone:      "north",
		Replicas:  map[string]peer.ReplicaLoad{},
	}
	for index := range min(replicas, reportedReplicas) {
		replica := fmt.Sprintf("i-%08x", (dataPlane*7+index)%replicas)
		report.Replicas[replica] = peer.ReplicaLoad{Running: 3, Tokens: 4200, PrefillTokens: 800}
	}
	for index := range reportedModels {
		report.Models = append(report.Models, peer.ModelLoad{
			Backend:   "writers",
			Model:     fmt.Sprintf("model%04d", (dataPlane*3+index)%(2*replicas)),
			Arrivals:  1,
			Running:   2,
			PrefillMs: 20,
		})
	}
	return report
}

func BenchmarkHandleLoadReport(b *testing.B) {
	run := func(edges, replicas int) func(b *testing.B) {
		return func(b *testing.B) {
			node := newBenchNode(b)
			rosterHost{node: node}.PublishRoster(benchRoster(replicas, 0), nil, time.Now())
			routes := node.peerRoutes()
			subscribeAll(b, routes, edges, replicas)
			for edge := range edges {
				postJSON(b, routes, peer.MethodReportLoad, testReport(edge, replicas))
			}
			size, turn := 0, 0
			for b.Loop() {
				size = postJSON(b, routes, peer.MethodReportLoad, testReport(turn%edges, replicas))
				turn++
			}
			b.ReportMetric(float64(size), "bytes/answer")
		}
	}
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), run(edges, 140))
	}
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), run(mediumFleet, replicas))
	}
}

func BenchmarkHandleWatch_AllEndpointSets(b *testing.B) {
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			node := newBenchNode(b)
			rosterHost{node: node}.PublishRoster(benchRoster(replicas, 0), nil, time.Now())
			routes, size := node.peerRoutes(), 0
			subscribeAll(b, routes, 1, replicas)
			for b.Loop() {
				size = postJSON(b, routes, peer.MethodWatch, peer.WatchRequest{
					DataPlane:            "edge-000",
					Zone:                 "north",
					Primary:              true,
					MaxWaitMs:            1,
					SubscriptionSequence: 1,
				})
			}
			b.ReportMetric(float64(size), "bytes/answer")
		})
	}
}

func BenchmarkHandleSubscribe(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			node := newBenchNode(b)
			rosterHost{node: node}.PublishRoster(benchRoster(140, 0), nil, time.Now())
			routes := node.peerRoutes()
			subscribeAll(b, routes, edges, 140)
			for b.Loop() {
				subscribeAll(b, routes, 1, 140)
			}
		})
	}
}

func BenchmarkLoadAggregator_Summaries(b *testing.B) {
	run := func(edges, replicas int) func(b *testing.B) {
		return func(b *testing.B) {
			node := newBenchNode(b)
			for edge := range edges {
				node.loads.AddReport(testReport(edge, replicas), time.Now())
			}
			size := 0
			for b.Loop() {
				content, err := json.Marshal([]peer.LoadSummary{
					node.loads.Summary(node.self, time.Time{}),
					node.loads.DemandSummary(node.self, false),
				})
				assert.NilError(b, err)
				size = len(content)
			}
			b.ReportMetric(float64(size), "bytes/message")
		}
	}
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), run(edges, 140))
	}
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), run(mediumFleet, replicas))
	}
}

func BenchmarkPublishRoster_OneReplicaChanged(b *testing.B) {
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			node, turn := newBenchNode(b), 0
			rosters := [][]discovery.Replica{benchRoster(replicas, 0), benchRoster(replicas, 1)}
			for b.Loop() {
				turn++
				node.roster.Adopt(rosters[turn%2], 1, time.Now())
			}
		})
	}
}

func BenchmarkMeasureDemand_Members(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			node := newBenchNode(b)
			for edge := range edges {
				node.loads.AddReport(testReport(edge, 140), time.Now())
			}
			share := node.loads.DemandSummary(node.self, false)
			share.Batch = 0 // treated as a new summary each time
			for b.Loop() {
				node.scheduler.Demand().HandleSummary(share)
				node.scheduler.Demand().Update()
			}
		})
	}
}
