package dataplane

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/match"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

func benchDesk(b *testing.B) (*FleetState, *atomic.Pointer[match.Snapshot]) {
	settings, err := nodesettings.Parse(nil)
	assert.NilError(b, err)
	settings.Zone, settings.Zones = "north", map[string]string{"north": "land"}
	fleet := &atomic.Pointer[match.Snapshot]{}
	return NewFleetState(settings, time.Now, fleet, func() {}), fleet
}

const benchSource = "10.0.0.1:7000"

func benchParts(count, holders int, version uint64) []peer.Part {
	var list []peer.Part
	for index := range count {
		part := peer.Part{PartName: peer.PartName{Backend: "writers", Model: fmt.Sprintf("model%04d", index)}, Version: version}
		for place := range holders {
			number := index*holders + place
			part.Holders = append(part.Holders, peer.Holder{ID: fmt.Sprintf("i-%08x", number), Address: fmt.Sprintf("10.1.%d.%d:8080", number/200, number%200), Zone: "north", Slots: 64, Adapters: []string{"a1"}})
		}
		list = append(list, part)
	}
	return list
}

func following(state *FleetState, parts []peer.Part) {
	source := benchSource
	state.hear(heard{address: source, asked: time.Now(), at: time.Now(), news: peer.News{Member: source, Zone: "north", Life: "1", Proven: true, FreshMs: 1000, Version: 1, Edges: 80}})
	state.followed(answered{source, peer.FollowRequest{Number: 1, Whole: true}, peer.FollowReply{Life: "1", FreshMs: 1000, Parts: parts}, time.Now(), time.Now(), false})
}

const (
	followedParts = 20
	holdersOfOne  = 3
)

func hearOver(b *testing.B, news func(turn uint64) peer.News) {
	state, fleet := benchDesk(b)
	following(state, benchParts(followedParts, holdersOfOne, 1))
	turn := uint64(1)
	for b.Loop() {
		turn++
		one := heard{address: benchSource, asked: time.Now(), at: time.Now(), news: news(turn)}
		if state.hear(one) {
			state.publish()
		}
	}
	assert.Assert(b, fleet.Load() != nil)
}

func BenchmarkDeskHearsAPartChange(b *testing.B) {
	run := func(parts, holders int) func(b *testing.B) {
		return func(b *testing.B) {
			state, fleet := benchDesk(b)
			following(state, benchParts(parts, holders, 1))
			changed, turn := benchParts(1, holders, 1), uint64(1)
			for b.Loop() {
				turn++
				changed[0].Version = turn
				if state.hear(heard{address: benchSource, asked: time.Now(), at: time.Now(), news: peer.News{Member: benchSource, Zone: "north", Life: "1", Proven: true, FreshMs: 1000, Version: 1, Roster: turn, Parts: changed, Edges: 80}}) {
					state.publish()
				}
			}
			assert.Equal(b, len(fleet.Load().Replicas), parts*holders)
		}
	}
	for _, parts := range []int{5, 20, 100} {
		b.Run(fmt.Sprintf("parts=%d", parts), run(parts, holdersOfOne))
	}
	for _, holders := range []int{1, 9, 140} {
		b.Run(fmt.Sprintf("holders=%d", holders), run(1, holders))
	}
}

func BenchmarkDeskHearsNoNews(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			hearOver(b, func(turn uint64) peer.News {
				return peer.News{Member: benchSource, Zone: "north", Life: "1", Proven: true, FreshMs: 1000, Version: 1, Edges: edges}
			})
		})
	}
}

func BenchmarkDeskHearsALayout(b *testing.B) {
	for _, models := range []int{28, 450, 1600} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			whole := configuration.Configuration{Backends: []configuration.Backend{{Name: "writers", Runtime: &configuration.Runtime{Slots: 64}}}}
			for index := range models {
				whole.Backends[0].Runtime.Models = append(whole.Backends[0].Runtime.Models, configuration.Model{Name: fmt.Sprintf("model%04d", index), WeightSizeMb: 65000, LoadTimeS: 5})
			}
			hearOver(b, func(turn uint64) peer.News {
				b.StopTimer()
				defer b.StartTimer()
				whole.Revision = int64(turn)
				document, _ := json.Marshal(whole)
				return peer.News{Member: benchSource, Zone: "north", Life: "1", Proven: true, FreshMs: 1000, Version: turn, Revision: whole.Revision, Packed: configuration.Compress(document), Edges: 80}
			})
		})
	}
}
