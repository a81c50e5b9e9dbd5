package partner

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/platform"
)

var replicaCounts = []int{9, 140, 720}

func listed(count int) []platform.Replica {
	var list []platform.Replica
	for index := range count {
		one := platform.Replica{ID: fmt.Sprintf("i-%08x", index), Backend: "writers", Address: fmt.Sprintf("10.1.%d.%d:8080", index/200, index%200), Area: "north", Revision: "v1", Slots: 64, State: "ready", Phase: "unified"}
		for place := range 2 {
			one.Models = append(one.Models, platform.Held{Name: fmt.Sprintf("model%04d", 2*index+place), Revision: 1, Adapters: []string{"a1", "a2", "a3"}})
		}
		list = append(list, one)
	}
	return list
}

func pressed(count int) map[string]ReplicaPressure {
	table := map[string]ReplicaPressure{}
	for index := range count {
		table[fmt.Sprintf("i-%08x", index)] = ReplicaPressure{Running: 3, Tokens: 4200, Prefill: 800}
	}
	return table
}

func BenchmarkNewsOverTheWire(b *testing.B) {
	for _, replicas := range replicaCounts {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			news := News{Member: "10.0.0.1:7000", Fresh: true, Version: 3, Roster: 5, Replicas: listed(replicas), Edges: 80}
			travel[News](b, news)
		})
	}
}

func BenchmarkOutlookOverTheWire(b *testing.B) {
	for _, replicas := range replicaCounts {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			travel[Outlook](b, Outlook{Replicas: pressed(replicas)})
		})
	}
}

func travel[Word any](b *testing.B, told Word) {
	size := 0
	for b.Loop() {
		content, err := json.Marshal(told)
		assert.NilError(b, err)
		var heard Word
		assert.NilError(b, json.Unmarshal(content, &heard))
		size = len(content)
	}
	b.ReportMetric(float64(size), "bytes/message")
}
