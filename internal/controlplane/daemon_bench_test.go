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

	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
)

func benchDaemon(b *testing.B) *Daemon {
	settings, err := nodesettings.Parse(nil)
	assert.NilError(b, err)
	settings.NodeName, settings.IPAddress, settings.InternalPorts, settings.Bootstrap = "daemon-1", "10.0.0.1", []int{7000, 7010}, true
	settings.SeedNodes, settings.CloudAPI.Address = []string{"10.0.0.1:8166"}, "10.0.0.9:80"
	settings.Zones, settings.Zone = map[string]string{"north": "land"}, "north"
	folder, err := keystore.NewDirectory(b.TempDir())
	assert.NilError(b, err)
	daemon, err := New(settings, "", peer.Machine{}, folder)
	assert.NilError(b, err)
	daemon.publisher.Change(func(next *Snapshot) bool {
		next.ConfirmedAt, next.Edges, next.Holder, next.Control = time.Now().Add(time.Hour), 80, "10.0.0.1:7000", []string{"10.0.0.1:7000"}
		return true
	})
	return daemon
}

func benchRoster(replicas, turn int) []platform.Replica {
	var list []platform.Replica
	for index := range replicas {
		one := platform.Replica{ID: fmt.Sprintf("i-%08x", index), Backend: "writers", Address: fmt.Sprintf("10.1.%d.%d:8080", index/200, index%200), Zone: "north", Revision: "v1", Slots: 64, State: "ready", Phase: "unified"}
		for place := range 2 {
			one.Models = append(one.Models, platform.Held{Name: fmt.Sprintf("model%04d", 2*index+place), Revision: 1, Adapters: []string{"a1", "a2"}})
		}
		list = append(list, one)
	}
	if turn%2 == 1 {
		list[0].Models = list[0].Models[:1]
	}
	return list
}

func post(b *testing.B, routes http.Handler, name string, question any) int {
	content, err := json.Marshal(question)
	assert.NilError(b, err)
	writer := httptest.NewRecorder()
	routes.ServeHTTP(writer, httptest.NewRequest(http.MethodPost, peer.Calls[name].Path, bytes.NewReader(content)))
	assert.Equal(b, writer.Code, http.StatusOK)
	return writer.Body.Len()
}

func followAll(b *testing.B, routes http.Handler, edges, replicas int) {
	for edge := range edges {
		question := peer.FollowRequest{Daemon: fmt.Sprintf("edge-%03d", edge), Number: 1, Whole: true}
		for _, model := range load(edge, replicas).Models {
			question.Add = append(question.Add, peer.PartName{Backend: model.Backend, Model: model.Model})
		}
		post(b, routes, "follow", question)
	}
}

const (
	runningAt  = 30
	fewModels  = 20
	middleSize = 80
)

func load(edge, replicas int) peer.LoadReport {
	told := peer.LoadReport{Daemon: fmt.Sprintf("edge-%03d", edge), Zone: "north", Replicas: map[string]peer.ReplicaLoad{}}
	for index := range min(replicas, runningAt) {
		told.Replicas[fmt.Sprintf("i-%08x", (edge*7+index)%replicas)] = peer.ReplicaLoad{Running: 3, Tokens: 4200, Prefill: 800}
	}
	for index := range fewModels {
		told.Models = append(told.Models, peer.ModelLoad{Backend: "writers", Model: fmt.Sprintf("model%04d", (edge*3+index)%(2*replicas)), Arrivals: 1, Running: 2, Aim: 600, ReadMs: 20})
	}
	return told
}

func BenchmarkHearLoad(b *testing.B) {
	run := func(edges, replicas int) func(b *testing.B) {
		return func(b *testing.B) {
			daemon := benchDaemon(b)
			daemon.post(benchRoster(replicas, 0), nil, time.Now())
			routes := daemon.peerRoutes()
			followAll(b, routes, edges, replicas)
			for edge := range edges {
				post(b, routes, "pressure", load(edge, replicas))
			}
			size, turn := 0, 0
			for b.Loop() {
				size = post(b, routes, "pressure", load(turn%edges, replicas))
				turn++
			}
			b.ReportMetric(float64(size), "bytes/answer")
		}
	}
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), run(edges, 140))
	}
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), run(middleSize, replicas))
	}
}

func BenchmarkAnswerAPollWithItsParts(b *testing.B) {
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			daemon := benchDaemon(b)
			daemon.post(benchRoster(replicas, 0), nil, time.Now())
			routes, size := daemon.peerRoutes(), 0
			followAll(b, routes, 1, replicas)
			for b.Loop() {
				size = post(b, routes, "news", peer.Poll{Daemon: "edge-000", Zone: "north", Wants: true, HoldMs: 1, Follows: 1})
			}
			b.ReportMetric(float64(size), "bytes/answer")
		})
	}
}

func BenchmarkFollow(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			daemon := benchDaemon(b)
			daemon.post(benchRoster(140, 0), nil, time.Now())
			routes := daemon.peerRoutes()
			followAll(b, routes, edges, 140)
			for b.Loop() {
				followAll(b, routes, 1, 140)
			}
		})
	}
}

func BenchmarkComposeSums(b *testing.B) {
	run := func(edges, replicas int) func(b *testing.B) {
		return func(b *testing.B) {
			daemon := benchDaemon(b)
			for edge := range edges {
				daemon.sums.Hear(load(edge, replicas), time.Now())
			}
			size := 0
			for b.Loop() {
				content, err := json.Marshal([]peer.LoadSum{daemon.sums.Share(daemon.self, time.Time{}), daemon.sums.Demand(daemon.self, false)})
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
		b.Run(fmt.Sprintf("replicas=%d", replicas), run(middleSize, replicas))
	}
}

func BenchmarkPublishRoster(b *testing.B) {
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			daemon, turn := benchDaemon(b), 0
			rosters := [][]platform.Replica{benchRoster(replicas, 0), benchRoster(replicas, 1)}
			for b.Loop() {
				turn++
				daemon.roster.set(rosters[turn%2], time.Now())
				daemon.publishRoster()
			}
		})
	}
}

func BenchmarkMeasureDemand(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			daemon := benchDaemon(b)
			for edge := range edges {
				daemon.sums.Hear(load(edge, 140), time.Now())
			}
			share := daemon.sums.Demand(daemon.self, false)
			share.Batch = 0 // heard as new each time
			for b.Loop() {
				daemon.scheduler.hearDemand(share)
				daemon.scheduler.measure()
			}
		})
	}
}
