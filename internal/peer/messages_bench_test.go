package peer

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

var replicaCounts = []int{9, 140, 720}

func endpointSets(count, endpoints int) []EndpointSet {
	var sets []EndpointSet
	for index := range count {
		set := EndpointSet{EndpointKey: EndpointKey{Backend: "writers", Model: fmt.Sprintf("model%04d", index)}, Version: 7}
		for endpoint := range endpoints {
			number := index*endpoints + endpoint
			set.Endpoints = append(set.Endpoints, Endpoint{
				ID:       fmt.Sprintf("i-%08x", number),
				Address:  fmt.Sprintf("10.1.%d.%d:8080", number/200, number%200),
				Zone:     "north",
				Slots:    64,
				Adapters: []string{"a1", "a2", "a3"},
			})
		}
		sets = append(sets, set)
	}
	return sets
}

func replicaLoads(count int) map[string]ReplicaLoad {
	table := map[string]ReplicaLoad{}
	for index := range count {
		table[fmt.Sprintf("i-%08x", index)] = ReplicaLoad{Running: 3, Tokens: 4200, PrefillTokens: 800}
	}
	return table
}

func BenchmarkWatchResponse_JSON(b *testing.B) {
	for _, subscribed := range []int{5, 20, 100} {
		b.Run(fmt.Sprintf("parts=%d", subscribed), func(b *testing.B) {
			benchmarkRoundTrip(b, WatchResponse{
				Member:         "10.0.0.1:7000",
				Linearizable:   true,
				FreshMs:        1000,
				Version:        3,
				RosterVersion:  5,
				EndpointSets:   endpointSets(subscribed, 3),
				DataPlaneCount: 80,
			})
		})
	}
}

func BenchmarkLoadSummary_JSON(b *testing.B) {
	for _, replicas := range replicaCounts {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			benchmarkRoundTrip(b, LoadSummary{Member: "10.0.0.1:7000", DataPlaneCount: 80, Replicas: replicaLoads(replicas)})
		})
	}
}

func BenchmarkFleetLoad_JSON(b *testing.B) {
	for _, replicas := range replicaCounts {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			benchmarkRoundTrip(b, FleetLoad{Replicas: replicaLoads(replicas)})
		})
	}
}

func benchmarkRoundTrip[Message any](b *testing.B, message Message) {
	size := 0
	for b.Loop() {
		content, err := json.Marshal(message)
		assert.NilError(b, err)
		var decoded Message
		assert.NilError(b, json.Unmarshal(content, &decoded))
		size = len(content)
	}
	b.ReportMetric(float64(size), "bytes/message")
}
