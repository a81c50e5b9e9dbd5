package controlplane

import (
	"fmt"
	"testing"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

func BenchmarkScheduler_DemandAndReplicas(b *testing.B) {
	for _, size := range [][2]int{{9, 6}, {140, 80}, {720, 400}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			scheduler := &Scheduler{
				node:         &Node{clock: func() time.Time { return now }},
				demand:       map[string]*placement.Demand{},
				arrivals:     map[string]float64{},
				prefillMs:    map[string]float64{},
				modelsOnDisk: map[string]map[string]bool{},
				tracked:      map[string]*trackedReplica{},
				planInputs:   planInputs{aggregator: demand.NewDemandAggregator()},
			}
			var listed []discovery.Replica
			for index := range size[0] {
				loaded := []discovery.LoadedModel{{
					Name:     fmt.Sprint("m", index),
					Adapters: []string{"a1", "a2", "a3"},
				}, {Name: fmt.Sprint("m", index/2)}}
				listed = append(listed, discovery.Replica{
					ID:      fmt.Sprintf("r%04d", index),
					Address: fmt.Sprint("at", index),
					Backend: "s",
					Models:  loaded,
				})
			}
			table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
				Name:    "s",
				Runtime: &configuration.Runtime{Slots: 12},
			}}}, nil)
			var reports []peer.LoadSummary
			for edge := range size[1] {
				report := peer.LoadSummary{Member: fmt.Sprint("member", edge), DataPlaneCount: 1}
				for index := range 40 {
					report.Models = append(report.Models, peer.ModelLoad{
						Backend: "s",
						Model:   fmt.Sprint("m", (edge*7+index)%size[0]),
						Running: 1,
						Waiting: index % 2,
					})
				}
				reports = append(reports, report)
			}
			names := make([]string, 40)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for _, report := range reports[:max(len(reports)/10, 1)] {
					for index, model := range report.Models {
						names[index] = placement.ModelKey(model.Backend, model.Model)
					}
					scheduler.aggregator.Add(report, append([]string{}, names...), now)
				}
				scheduler.updateDemand()
				scheduler.adoptReplicaList(listed, now)
				scheduler.addServers(&placement.View{Table: table}, now)
			}
		})
	}
}
