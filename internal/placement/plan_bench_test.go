package placement

import (
	"fmt"
	"testing"
)

func BenchmarkPlan(b *testing.B) {
	sizes := []fleetShape{
		{replicas: 9, models: 28, adapters: 28},
		{replicas: 140, models: 450, adapters: 440},
		{replicas: 720, models: 1600, adapters: 1100},
	}
	for _, size := range sizes {
		for _, waiting := range []float64{0, 0.2} {
			size.active, size.waiting = 0.2+1.5*waiting, waiting
			b.Run(fmt.Sprintf("waiting=%g/%dx%dx%d", waiting, size.replicas, size.models, size.adapters), func(b *testing.B) {
				view := size.view(1)
				tokens := view.StoreTokens
				b.ReportAllocs()
				for b.Loop() {
					clear(view.Loading)
					view.StoreTokens = tokens
					for _, server := range view.Servers {
						server.Intent = ""
					}
					Plan(view)
				}
			})
		}
	}
}
