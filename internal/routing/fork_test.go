package routing

import "testing"

func BenchmarkMatcher_Fork(b *testing.B) {
	fleet := newSimulatedFleet(1, 12)
	for number := range 7000 {
		fleet.step(100000 + number)
	}
	b.ReportMetric(float64(fleet.matcher.ledger.Len()), "entries")
	b.Run("in the loop", func(b *testing.B) {
		for range b.N {
			fleet.matcher.fork(fleet.now, fleet.matcher.ledger.fork())
		}
	})
	b.Run("whole forecast", func(b *testing.B) {
		for range b.N {
			fleet.matcher.fork(fleet.now, fleet.matcher.ledger.fork()).forecast(isleLoss, fleet.now)
		}
	})
}
