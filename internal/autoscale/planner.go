package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// surplusBootTimes is how long a surplus must last before replicas are removed, in multiples of Limits.BootTime.
	surplusBootTimes = 3
	// maxRemovedShare is the largest share of all replicas that one step removes; a step may always remove one replica.
	maxRemovedShare = 0.1
	// surplusMargin is the share by which the remaining replicas exceed the number needed. A surplus counts only if it
	// exceeds that by the same share of all replicas.
	surplusMargin = 0.05
	// shortfallBootTimes is how long a zone may lack replicas before the other zones compensate for them, in multiples of
	// Limits.BootTime.
	shortfallBootTimes = 1.5
)

// Limits bound the number of replicas of a backend in each zone.
type Limits struct {
	Min, Max int
	// BootTime is how long a new replica takes until it serves.
	BootTime time.Duration
}

// Zone is a zone that a backend runs in.
type Zone struct {
	Name string
	// ListedReplicas is how many replicas that are not draining are listed.
	ListedReplicas int
	// IsDrained is set while no requests may be sent to the zone.
	IsDrained bool
}

// Planner plans the replica counts of one backend. It is not safe for concurrent use.
type Planner struct {
	// desired is the last plan: the replica count by zone.
	desired map[string]int
	// shortfallSince is, by zone, since when it has had fewer replicas than desired or has been drained.
	shortfallSince map[string]time.Time
	// surplusSince is since when fewer replicas have been needed than desired.
	surplusSince time.Time
}

// NewPlanner returns a planner without history. The replicas that are listed when it first sees a zone count as desired.
func NewPlanner() *Planner {
	return &Planner{desired: map[string]int{}, shortfallSince: map[string]time.Time{}}
}

// Plan returns how many replicas each zone should have, given how many are needed in total.
func (p *Planner) Plan(zones []Zone, limits Limits, needed int, now time.Time) map[string]int {
	zones = slices.SortedFunc(slices.Values(zones), func(left, right Zone) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	usable := p.updateZones(zones, limits, now)
	total := 0
	for _, zone := range usable {
		total += p.desired[zone.Name]
	}
	switch {
	case needed > total:
		p.surplusSince = time.Time{}
		p.addReplicas(usable, limits, needed-total)
	case p.hasSurplus(needed, total, limits, now):
		enough := int(math.Ceil(float64(needed) * (1 + surplusMargin)))
		p.removeReplicas(usable, limits, min(total-enough, max(int(maxRemovedShare*float64(total)), 1)))
		p.surplusSince = now
	}
	planned := map[string]int{}
	for _, zone := range zones {
		planned[zone.Name] = p.desired[zone.Name]
	}
	return planned
}

// updateZones updates the state of each zone by its listed replicas. It returns the zones that count towards the total: all
// but those with a lasting shortfall.
func (p *Planner) updateZones(zones []Zone, limits Limits, now time.Time) []Zone {
	var usable []Zone
	for _, zone := range zones {
		if _, known := p.desired[zone.Name]; !known {
			p.desired[zone.Name] = zone.ListedReplicas
		}
		p.desired[zone.Name] = min(max(p.desired[zone.Name], limits.Min), max(limits.Max, limits.Min))
		if !zone.IsDrained && zone.ListedReplicas >= p.desired[zone.Name] {
			delete(p.shortfallSince, zone.Name)
		} else if p.shortfallSince[zone.Name].IsZero() {
			p.shortfallSince[zone.Name] = now
		}
		since := p.shortfallSince[zone.Name]
		if since.IsZero() || float64(now.Sub(since)) < shortfallBootTimes*float64(limits.BootTime) {
			usable = append(usable, zone)
		}
	}
	return usable
}

// hasSurplus reports whether fewer replicas have been needed for long enough to remove some.
func (p *Planner) hasSurplus(needed, total int, limits Limits, now time.Time) bool {
	if float64(needed)*(1+surplusMargin) > float64(total)*(1-surplusMargin) {
		p.surplusSince = time.Time{}
		return false
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	return now.Sub(p.surplusSince) >= surplusBootTimes*limits.BootTime
}

// addReplicas adds replicas one by one to the zone that has the fewest.
func (p *Planner) addReplicas(zones []Zone, limits Limits, amount int) {
	for range amount {
		chosen := ""
		for _, zone := range zones {
			if p.desired[zone.Name] < limits.Max && (chosen == "" || p.desired[zone.Name] < p.desired[chosen]) {
				chosen = zone.Name
			}
		}
		if chosen == "" {
			return
		}
		p.desired[chosen]++
	}
}

// removeReplicas removes replicas one by one from the zone that has the most.
func (p *Planner) removeReplicas(zones []Zone, limits Limits, amount int) {
	for range amount {
		chosen := ""
		for _, zone := range zones {
			if p.desired[zone.Name] > limits.Min && (chosen == "" || p.desired[zone.Name] > p.desired[chosen]) {
				chosen = zone.Name
			}
		}
		if chosen == "" {
			return
		}
		p.desired[chosen]--
	}
}
