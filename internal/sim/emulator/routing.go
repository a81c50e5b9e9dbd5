package emulator

import (
	"math/rand/v2"
	"time"
)

// linkDelay returns the one-way network delay between two zones, given by their indices.
func (w *World) linkDelay(from, to int) time.Duration {
	zone := w.scenario.Zones[from]
	other := w.scenario.Zones[to]
	switch {
	case from == to:
		return milliseconds(w.scenario.Links.ZoneMs)
	case zone.Region == other.Region:
		return milliseconds(w.scenario.Links.RegionMs)
	}
	return milliseconds(w.scenario.Links.CrossRegionMs)
}

// zonesByDistance returns the indices of all zones from the nearest to the farthest: the zone itself, the
// others of its region, then those of other regions.
func (w *World) zonesByDistance(zone int) []int {
	var order []int
	for distance := range 3 {
		for other := range w.scenario.Zones {
			near := 2
			if other == zone {
				near = 0
			} else if w.scenario.Zones[other].Region == w.scenario.Zones[zone].Region {
				near = 1
			}
			if near == distance {
				order = append(order, other)
			}
		}
	}
	return order
}

// chooseEdge returns a random routable edge in the nearest zone that has one, or nil if no edge is
// routable. The random choice depends only on the request's draw and the number of the attempt.
func (w *World) chooseEdge(zone int, draw float64, attemptNumber int) *edge {
	for _, other := range w.zonesByDistance(zone) {
		var routable []*edge
		for _, dataPlane := range w.edges {
			if dataPlane.zone == other && dataPlane.routable {
				routable = append(routable, dataPlane)
			}
		}
		if len(routable) > 0 {
			random := rand.New(randomSource(uint64(draw*(1<<52)), uint64(attemptNumber)))
			return routable[random.IntN(len(routable))]
		}
	}
	return nil
}
