package dataplane

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/env"
	"ferryspar/internal/layout"
	"ferryspar/internal/match"
	"ferryspar/internal/partner"
	"ferryspar/internal/platform"
)

func benchDesk(b *testing.B) (*Desk, *atomic.Pointer[match.Fleet]) {
	settings, err := env.Parse(nil)
	assert.NilError(b, err)
	settings.Area, settings.Areas = "north", map[string]string{"north": "land"}
	fleet := &atomic.Pointer[match.Fleet]{}
	return NewDesk(settings, time.Now, fleet, func() {}), fleet
}

func benchRoster(replicas int) []platform.Replica {
	var list []platform.Replica
	for index := range replicas {
		one := platform.Replica{ID: fmt.Sprintf("i-%08x", index), Backend: "writers", Address: fmt.Sprintf("10.1.%d.%d:8080", index/200, index%200), Area: "north", Slots: 64, State: "ready"}
		for place := range 2 {
			one.Models = append(one.Models, platform.Held{Name: fmt.Sprintf("model%04d", 2*index+place), Revision: 1, Adapters: []string{"a1", "a2"}})
		}
		list = append(list, one)
	}
	return list
}

func hearOver(b *testing.B, news func(turn uint64) partner.News) {
	desk, fleet := benchDesk(b)
	turn := uint64(0)
	for b.Loop() {
		turn++
		one := heard{address: "10.0.0.1:7000", at: time.Now(), news: news(turn)}
		if desk.hear(one) {
			desk.publish()
		}
	}
	assert.Assert(b, fleet.Load() != nil)
}

func BenchmarkDeskHearsAReplicaChange(b *testing.B) {
	for _, replicas := range []int{9, 140, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			roster := benchRoster(replicas)
			hearOver(b, func(turn uint64) partner.News {
				return partner.News{Member: "10.0.0.1:7000", Area: "north", Life: "1", Fresh: true, Version: 1, Roster: turn, Replicas: roster, Edges: 80}
			})
		})
	}
}

func BenchmarkDeskHearsNoNews(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			hearOver(b, func(turn uint64) partner.News {
				return partner.News{Member: "10.0.0.1:7000", Area: "north", Life: "1", Fresh: true, Version: 1, Edges: edges}
			})
		})
	}
}

func BenchmarkDeskHearsALayout(b *testing.B) {
	for _, models := range []int{28, 450, 1600} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			whole := layout.Layout{Backends: []layout.Backend{{Name: "writers", Runtime: &layout.Runtime{Slots: 64}}}}
			for index := range models {
				whole.Backends[0].Runtime.Models = append(whole.Backends[0].Runtime.Models, layout.Model{Name: fmt.Sprintf("model%04d", index), WeightSizeMb: 65000, LoadTimeS: 5})
			}
			hearOver(b, func(turn uint64) partner.News {
				b.StopTimer()
				defer b.StartTimer()
				whole.Revision = int64(turn)
				document, _ := json.Marshal(whole)
				return partner.News{Member: "10.0.0.1:7000", Area: "north", Life: "1", Fresh: true, Version: turn, Revision: whole.Revision, Packed: layout.Pack(document), Edges: 80}
			})
		})
	}
}
