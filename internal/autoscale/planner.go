package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// surplusBoots is for how many times the start of a replica a surplus must have lasted before replicas are removed.
	surplusBoots = 3
	// maxRemoved is the part of all replicas that one step removes at most, and surplusReserve by which part more than what is needed
	// stays.
	maxRemoved     = 0.1
	surplusReserve = 0.05
	// absentBoots is for how many times the start of a replica a zone may lack replicas before others make up for them.
	absentBoots = 1.5
)

// Limits bound the number of replicas of a backend in each zone.
type Limits struct {
	Min, Max int
	// BootTime is how long a new replica takes before it serves.
	BootTime time.Duration
}

// Zone is one zone that a backend runs in.
type Zone struct {
	Name string
	// ListedReplicas is how many replicas are listed that do not drain.
	ListedReplicas int
	// IsDrained says that nothing may be sent to the zone.
	IsDrained bool
}

// Planner plans the replicas of one backend. Its state belongs to its caller's goroutine.
type Planner struct {
	// desired is what was planned last, by zone.
	desired map[string]int
	// lackingSince is since when a zone has had fewer replicas, or may not be used.
	lackingSince map[string]time.Time
	// surplusSince is since when fewer replicas have been needed than there are to be.
	surplusSince time.Time
}

// NewPlanner returns a planner that takes the replicas that it first sees for those that were ordered.
func NewPlanner() *Planner {
	return &Planner{desired: map[string]int{}, lackingSince: map[string]time.Time{}}
}

// Plan returns how many replicas each zone should have when so many are needed in all.
func (p *Planner) Plan(zones []Zone, limits Limits, needed int, now time.Time) map[string]int {
	zones = slices.SortedFunc(slices.Values(zones), func(left, right Zone) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	usable := p.observe(zones, limits, now)
	total := 0
	for _, zone := range usable {
		total += p.desired[zone.Name]
	}
	switch {
	case needed > total:
		p.surplusSince = time.Time{}
		p.spread(usable, limits, needed-total)
	case p.hasSurplus(needed, total, limits, now):
		enough := int(math.Ceil(float64(needed) * (1 + surplusReserve)))
		p.remove(usable, limits, min(total-enough, max(int(maxRemoved*float64(total)), 1)))
		p.surplusSince = now
	}
	planned := map[string]int{}
	for _, zone := range zones {
		planned[zone.Name] = p.desired[zone.Name]
	}
	return planned
}

// observe takes in what is listed, and returns the zones that can be counted on.
func (p *Planner) observe(zones []Zone, limits Limits, now time.Time) []Zone {
	var usable []Zone
	for _, zone := range zones {
		if _, known := p.desired[zone.Name]; !known {
			p.desired[zone.Name] = zone.ListedReplicas
		}
		p.desired[zone.Name] = min(max(p.desired[zone.Name], limits.Min), max(limits.Max, limits.Min))
		if !zone.IsDrained && zone.ListedReplicas >= p.desired[zone.Name] {
			delete(p.lackingSince, zone.Name)
		} else if p.lackingSince[zone.Name].IsZero() {
			p.lackingSince[zone.Name] = now
		}
		since := p.lackingSince[zone.Name]
		if since.IsZero() || float64(now.Sub(since)) < absentBoots*float64(limits.BootTime) {
			usable = append(usable, zone)
		}
	}
	return usable
}

// hasSurplus says whether fewer replicas have been needed for long enough to remove some.
func (p *Planner) hasSurplus(needed, total int, limits Limits, now time.Time) bool {
	if float64(needed)*(1+surplusReserve) > float64(total)*(1-surplusReserve) {
		p.surplusSince = time.Time{}
		return false
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	return now.Sub(p.surplusSince) >= surplusBoots*limits.BootTime
}

// spread adds replicas, each to the zone that has the fewest.
func (p *Planner) spread(zones []Zone, limits Limits, amount int) {
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

// remove takes replicas away, each from the zone that has the most.
func (p *Planner) remove(zones []Zone, limits Limits, amount int) {
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
