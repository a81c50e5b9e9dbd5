package controlplane

import (
	"fmt"
	"testing"
	"time"

	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/controlplane/scheduler"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// modelsPerReport is how many models each data plane asks for in BenchmarkScheduler_DemandAndReplicas.
const modelsPerReport = 40

// BenchmarkScheduler_DemandAndReplicas measures what a turn of the planning loop does before it plans.
func BenchmarkScheduler_DemandAndReplicas(b *testing.B) {
	for _, size := range []struct{ replicas, dataPlanes int }{{9, 6}, {140, 80}, {720, 400}} {
		b.Run(fmt.Sprintf("%dx%d", size.replicas, size.dataPlanes), func(b *testing.B) {
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			demand := scheduler.NewDemandView(demand.NewDemandAggregator(), func() time.Time { return now }, func() {})
			tracker := replicatracker.New(0, replicatracker.NewDiskInventory(), replicatracker.NewObservations(0))
			var listed []discovery.Replica
			for index := range size.replicas {
				listed = append(listed, discovery.Replica{
					ID:      fmt.Sprintf("r%04d", index),
					Address: fmt.Sprint("at", index),
					Backend: "s",
					Models: []discovery.LoadedModel{
						{Name: fmt.Sprint("m", index), Adapters: []string{"a1", "a2", "a3"}},
						{Name: fmt.Sprint("m", index/2)},
					},
				})
			}
			var summaries []peer.LoadSummary
			for dataPlane := range size.dataPlanes {
				summary := peer.LoadSummary{Member: fmt.Sprint("member", dataPlane), DataPlaneCount: 1}
				for index := range modelsPerReport {
					summary.Models = append(summary.Models, peer.ModelLoad{
						Backend: "s",
						Model:   fmt.Sprint("m", (dataPlane*7+index)%size.replicas),
						Running: 1,
						Waiting: index % 2,
					})
				}
				summaries = append(summaries, summary)
			}
			all := func(string) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for _, summary := range summaries[:max(len(summaries)/10, 1)] {
					demand.HandleSummary(summary)
				}
				demand.Update()
				tracker.AdoptList(listed, now, now)
				tracker.Servers(all, demand.IsSuspected, now)
			}
		})
	}
}
