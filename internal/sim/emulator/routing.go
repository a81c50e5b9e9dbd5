package emulator

import (
	"math/rand/v2"
	"time"
)

// linkDelay is the one-way delay between two zones, given by their indices.
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

// zonesByDistance lists the indices of all zones from the nearest to the farthest: the zone itself,
// those of its region, the others.
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

// chooseEdge picks an edge that clients are routed to, in the nearest zone that has one. The choice
// follows from the request's draw and the number of the attempt alone. It is nil if no edge is
// routable.
func (w *World) chooseEdge(zone int, draw float64, attemptNumber int) *edge {
	for _, other := range w.zonesByDistance(zone) {
		var open []*edge
		for _, dataPlane := range w.edges {
			if dataPlane.zone == other && dataPlane.routable {
				open = append(open, dataPlane)
			}
		}
		if len(open) > 0 {
			chance := rand.New(randomSource(uint64(draw*(1<<52)), uint64(attemptNumber)))
			return open[chance.IntN(len(open))]
		}
	}
	return nil
}
