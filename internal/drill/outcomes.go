package drill

import (
	"fmt"
	"sort"
)

// OutcomeCounts counts requests by outcome. Exempted counts drilled requests that were allowed to use the
// scope after all, since they were at risk of missing their latency target.
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

// total returns the number of requests without the Aborted ones.
func (c OutcomeCounts) total() int { return c.WithinTarget + c.Late + c.Rejected + c.Exempted }

// FractionInTime returns the fraction of the requests that were served within their latency target.
func (c OutcomeCounts) FractionInTime() float64 {
	return float64(c.WithinTarget) / float64(max(c.total(), 1))
}

// fractionRejectedOrExempted returns the fraction of the requests that were rejected or exempted.
func (c OutcomeCounts) fractionRejectedOrExempted() float64 {
	return float64(c.Rejected+c.Exempted) / float64(max(c.total(), 1))
}

// DataPlaneRouteOutcomes counts a route's requests at one data plane, separately for drilled ones and the rest.
// KeptInScope counts drilled requests for which there are replicas in the scope only. FirstTokenDrilled and
// FirstTokenRest are encoded histograms of the time to the first token in milliseconds.
type DataPlaneRouteOutcomes struct {
	Drilled           OutcomeCounts `json:"drilled"`
	Rest              OutcomeCounts `json:"rest"`
	KeptInScope       int           `json:"kept"`
	FirstTokenDrilled string        `json:"firstDrilled,omitempty"`
	FirstTokenRest    string        `json:"firstRest,omitempty"`
}

// Report is the state of a drill at a participating data plane. EndReason is why the drill ended there, and
// empty while it is running.
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

// MergeOutcomes sums the reports by route, without the histograms.
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

// MergeReports sums the reports by route, including the histograms.
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

// minGuardSamples is the number of requests from which the guard evaluates a route's drilled requests or the rest.
const minGuardSamples = 30

// CheckGuard returns why a drill must end: the drilled requests of a route, or of all routes together, have worse
// outcomes than the rest by more than the margin. It returns "" if there is no such route, or too few requests were
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

// guardViolation returns in which way a route violates the guard, or "". Without enough other requests, the drilled
// ones are compared to a route that serves all requests in time.
func (r RouteOutcomes) guardViolation(margin float64) string {
	if r.Drilled.total() < minGuardSamples {
		return ""
	}
	expectedInTime, expectedDropped := 1.0, 0.0
	if r.Rest.total() >= minGuardSamples {
		expectedInTime, expectedDropped = r.Rest.FractionInTime(), r.Rest.fractionRejectedOrExempted()
	}
	if fraction := r.Drilled.FractionInTime(); fraction < expectedInTime-margin {
		return fmt.Sprintf("route %s: %.2f of the drilled in time, %.2f of the others", r.Name, fraction, expectedInTime)
	}
	if fraction := r.Drilled.fractionRejectedOrExempted(); fraction > expectedDropped+margin/2 {
		return fmt.Sprintf("route %s: %.2f of the drilled refused or spared, %.2f of the others", r.Name, fraction, expectedDropped)
	}
	return ""
}
