package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// modelsPerReport is how many models each summary of benchSummaries reports demand for.
const modelsPerReport = 40

// BenchmarkScheduler_DemandAndReplicas measures the work of one iteration of the planning loop before it plans.
func BenchmarkScheduler_DemandAndReplicas(b *testing.B) {
	for _, size := range []struct{ replicas, dataPlanes int }{{9, 6}, {140, 80}, {720, 400}} {
		b.Run(fmt.Sprintf("%dx%d", size.replicas, size.dataPlanes), func(b *testing.B) {
			now := testStart
			demand := newDemandView(func() time.Time { return now }, func() {})
			tracker := replicatracker.New(0, replicatracker.NewDiskInventory(), replicatracker.NewObservations(0))
			listed := benchList(size.replicas)
			summaries := benchSummaries(size.dataPlanes, size.replicas)
			all := func(string) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for _, summary := range summaries[:max(len(summaries)/10, 1)] {
					demand.aggregator.Add(summary, modelKeys(summary), now)
				}
				demand.Update()
				tracker.AdoptList(listed, now, now)
				tracker.Servers(all, demand.suspectedAmong(tracker.Listed()), now)
			}
		})
	}
}

// modelKeys returns the keys of a summary's models.
func modelKeys(summary peer.LoadSummary) []string {
	keys := make([]string, len(summary.Models))
	for index, model := range summary.Models {
		keys[index] = placement.ModelKey(model.Backend, model.Model)
	}
	return keys
}

// benchList returns a list of replicas with two models each.
func benchList(replicas int) []discovery.Replica {
	var listed []discovery.Replica
	for index := range replicas {
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
	return listed
}

// benchSummaries returns one summary per member, each with one data plane and demand for a varying subset of the models.
func benchSummaries(members, models int) []peer.LoadSummary {
	var summaries []peer.LoadSummary
	for member := range members {
		summary := peer.LoadSummary{Member: fmt.Sprint("member", member), DataPlaneCount: 1}
		for index := range modelsPerReport {
			summary.Models = append(summary.Models, peer.ModelLoad{
				Backend: "s",
				Model:   fmt.Sprint("m", (member*7+index)%models),
				Running: 1,
				Waiting: index % 2,
			})
		}
		summaries = append(summaries, summary)
	}
	return summaries
}
