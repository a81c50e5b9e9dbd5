package placement

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkRareModels(b *testing.B) {
	step := 100 * time.Millisecond
	for _, setup := range []simulationSetup{
		{fleetShape{replicas: 140, models: 450}, 120, 1, 10, 4, 16},
		{fleetShape{replicas: 140, models: 450}, 60, 0.6, 10, 4, 16},
		{fleetShape{replicas: 140, models: 450}, 250, 1, 10, 6, 16},
		{fleetShape{replicas: 9, models: 28}, 6, 1, 10, 4, 1},
		{fleetShape{replicas: 9, models: 28, adapters: 28}, 8, 1, 10, 4, 1},
		{fleetShape{replicas: 140, models: 450, adapters: 440}, 120, 1, 10, 4, 16},
		{fleetShape{replicas: 40, models: 200}, 20, 0.8, 10, 4, 4},
		// The same load on fleets of relative size 1, 3 and 9: the loads from the store per request must not grow with the size.
		{fleetShape{replicas: 28, models: 84, adapters: 84}, 36, 0.6, 8, 4.5, 3},
		{fleetShape{replicas: 85, models: 255, adapters: 251}, 108, 0.6, 8, 4.5, 9},
		{fleetShape{replicas: 256, models: 764, adapters: 752}, 324, 0.6, 8, 4.5, 27},
	} {
		name := fmt.Sprintf("%dx%dx%d/%g/%g", setup.replicas, setup.models, setup.adapters, setup.requestsPerS, setup.zipfExponent)
		b.Run(name, func(b *testing.B) {
			var total outcome
			for b.Loop() {
				for seed := range uint64(2) {
					s := newSimulation(setup, seed)
					for range 1800 {
						s.view.Now = s.view.Now.Add(step)
						s.addRequests(step)
						s.serveRequests()
						s.updateDemand(step)
						s.runPlanner()
					}
					total.add(s.outcome)
				}
			}
			share := func(part int) float64 { return float64(part) / float64(total.requests) }
			b.ReportMetric(share(total.inTime), "prompt")
			b.ReportMetric(share(total.late), "late")
			b.ReportMetric(share(total.lost), "lost")
			b.ReportMetric(share(total.storeLoads), "stored")
			b.ReportMetric(share(total.diskLoads), "disk")
		})
	}
}

func (o *outcome) add(other outcome) {
	o.requests += other.requests
	o.inTime += other.inTime
	o.late += other.late
	o.lost += other.lost
	o.storeLoads += other.storeLoads
	o.diskLoads += other.diskLoads
}
