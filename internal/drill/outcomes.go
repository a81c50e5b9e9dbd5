package drill

import (
	"fmt"
	"sort"
)

// OutcomeCounts counts requests by outcome. Exempted are drilled requests that
// went into the scope after all, since they would have been late.
type OutcomeCounts struct {
	WithinTarget int `json:"inAim"`
	Late         int `json:"late"`
	Rejected     int `json:"refused"`
	Aborted      int `json:"broken"`
	Exempted     int `json:"spared"`
}

// Add adds other to the counts.
func (c *OutcomeCounts) Add(other OutcomeCounts) {
	c.WithinTarget += other.WithinTarget
	c.Late += other.Late
	c.Rejected += other.Rejected
	c.Aborted += other.Aborted
	c.Exempted += other.Exempted
}

func (c OutcomeCounts) total() int { return c.WithinTarget + c.Late + c.Rejected + c.Exempted }

// FractionInTime returns the part of the requests that was served within its latency target.
func (c OutcomeCounts) FractionInTime() float64 {
	return float64(c.WithinTarget) / float64(max(c.total(), 1))
}

func (c OutcomeCounts) fractionDropped() float64 {
	return float64(c.Rejected+c.Exempted) / float64(max(c.total(), 1))
}

// DataPlaneRouteOutcomes counts a route's requests at one data plane, the drilled ones and the rest.
// KeptInScope are drilled ones whose only replicas lie in the scope. FirstTokenDrilled and FirstTokenRest
// are encoded histograms of the time to the first token in milliseconds.
type DataPlaneRouteOutcomes struct {
	Drilled           OutcomeCounts `json:"drilled"`
	Rest              OutcomeCounts `json:"rest"`
	KeptInScope       int           `json:"kept"`
	FirstTokenDrilled string        `json:"firstDrilled,omitempty"`
	FirstTokenRest    string        `json:"firstRest,omitempty"`
}

// Report is the state of a drill at a data plane that takes part in it. Ended is why it stopped, empty
// while it goes on.
type Report struct {
	Number    uint64                            `json:"number"`
	EndReason string                            `json:"ended,omitempty"`
	Routes    map[string]DataPlaneRouteOutcomes `json:"routes,omitempty"`
}

// RouteOutcomes counts a route's requests over all data planes, with the times to the first token.
type RouteOutcomes struct {
	Name              string        `json:"name"`
	Drilled           OutcomeCounts `json:"drilled"`
	Rest              OutcomeCounts `json:"rest"`
	KeptInScope       int           `json:"kept"`
	FirstTokenDrilled Quantiles     `json:"firstDrilled"`
	FirstTokenRest    Quantiles     `json:"firstRest"`
}

// MergeOutcomes adds the reports up by route, without the histograms.
func MergeOutcomes(reports []Report) []RouteOutcomes {
	merged := map[string]*RouteOutcomes{}
	for _, report := range reports {
		for name, outcomes := range report.Routes {
			if merged[name] == nil {
				merged[name] = &RouteOutcomes{Name: name}
			}
			merged[name].Drilled.Add(outcomes.Drilled)
			merged[name].Rest.Add(outcomes.Rest)
			merged[name].KeptInScope += outcomes.KeptInScope
		}
	}
	list := []RouteOutcomes{}
	for _, outcomes := range merged {
		list = append(list, *outcomes)
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

// MergeReports adds the reports up by route, histograms included.
func MergeReports(reports []Report) []RouteOutcomes {
	list := MergeOutcomes(reports)
	for index := range list {
		drilled, rest := NewHistogram(), NewHistogram()
		for _, report := range reports {
			outcomes := report.Routes[list[index].Name]
			MergeEncoded(drilled, outcomes.FirstTokenDrilled)
			MergeEncoded(rest, outcomes.FirstTokenRest)
		}
		list[index].FirstTokenDrilled, list[index].FirstTokenRest = Summarize(drilled), Summarize(rest)
	}
	return list
}

// minGuardSamples is how many drilled requests a route needs before the guard judges it.
const minGuardSamples = 30

// CheckGuard returns why a drill must end: a route, or all together, where the drilled requests do
// worse than the rest by more than the margin. It is empty while all is well or too few were
// counted.
func CheckGuard(record Record, routes []RouteOutcomes) string {
	var all RouteOutcomes
	for _, route := range routes {
		all.Drilled.Add(route.Drilled)
		all.Rest.Add(route.Rest)
	}
	all.Name = "all"
	for _, route := range append(routes, all) {
		if reason := route.guardViolation(record.Margin); reason != "" {
			return reason
		}
	}
	return ""
}

func (r RouteOutcomes) guardViolation(margin float64) string {
	if r.Drilled.total() < minGuardSamples {
		return ""
	}
	expected, dropped := 1.0, 0.0
	if r.Rest.total() >= minGuardSamples {
		expected, dropped = r.Rest.FractionInTime(), r.Rest.fractionDropped()
	}
	if fraction := r.Drilled.FractionInTime(); fraction < expected-margin {
		return fmt.Sprintf("route %s: %.2f of the drilled in time, %.2f of the others", r.Name, fraction, expected)
	}
	if fraction := r.Drilled.fractionDropped(); fraction > dropped+margin/2 {
		return fmt.Sprintf("route %s: %.2f of the drilled refused or spared, %.2f of the others", r.Name, fraction, dropped)
	}
	return ""
}
