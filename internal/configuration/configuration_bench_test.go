package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func exampleDocument(models, routes int) []byte {
	example := Configuration{
		Revision: 7,
		Limits:   Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for index := range routes {
		example.Routes = append(example.Routes, Route{
			Name:            fmt.Sprintf("r-%04d", index),
			Hostname:        "shop.example",
			PathPrefix:      fmt.Sprintf("/tell%04d/", index),
			RouteType:       Streaming,
			TimeoutMs:       15000,
			TargetLatencyMs: 600,
			Backend:         "writers",
			RetryCount:      1,
		})
	}
	runtime := &Runtime{Slots: 64, KvCacheTokens: 114820, WeightSizeMb: 145000, AdapterCapacity: 8, LoadsPerS: 1}
	for index := range models {
		runtime.Models = append(runtime.Models, Model{
			Name:          fmt.Sprintf("model%04d", index),
			WeightSizeMb:  65000,
			LoadTimeS:     5,
			Adapters:      index % 5,
			AdapterSizeMb: 12,
		})
	}
	example.Backends = []Backend{{Name: "writers", HealthPath: "/healthz", MaxConns: 256, ColdStartS: 3, ColdPerS: 12, Runtime: runtime}}
	document, _ := json.Marshal(example)
	return document
}

func runAtSizes(b *testing.B, run func(b *testing.B, document []byte)) {
	for _, models := range []int{28, 450, 1600} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) { run(b, exampleDocument(models, 3)) })
	}
	for _, routes := range []int{3, 35, 350} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) { run(b, exampleDocument(28, routes)) })
	}
}

func BenchmarkParse(b *testing.B) {
	runAtSizes(b, func(b *testing.B, document []byte) {
		for b.Loop() {
			_, err := Parse(document)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(len(document)), "bytes/message")
	})
}

func BenchmarkDecompressAndBuildTable(b *testing.B) {
	runAtSizes(b, func(b *testing.B, document []byte) {
		packed := Compress(document)
		for b.Loop() {
			decompressed, err := Decompress(packed)
			assert.NilError(b, err)
			read, err := Decode(decompressed)
			assert.NilError(b, err)
			NewTable(read, nil)
		}
		b.ReportMetric(float64(len(packed)), "bytes/message")
	})
}

func BenchmarkApplyPatch(b *testing.B) {
	change := []byte(`{"revision":9,"upsert":{"routeTable":[{"name":"r-0001","hostname":"shop.example",
"pathPrefix":"/new/","routeType":"streaming",
"timeoutMs":15000,"backend":"writers","retryCount":1}]}}`)
	runAtSizes(b, func(b *testing.B, document []byte) {
		for b.Loop() {
			_, err := ApplyPatch(document, change)
			assert.NilError(b, err)
		}
	})
}
