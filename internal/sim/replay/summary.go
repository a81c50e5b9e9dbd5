package replay

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// RouteSummary counts what became of the requests of a route. Affinity is the mean part of a
// prompt that was cached where it was sent.
type RouteSummary struct {
	Route    string  `json:"route"`
	Requests int     `json:"asked"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Rejected int     `json:"refused"`
	Affinity float64 `json:"affinity"`
	MeanMs   float64 `json:"meanMs"`
	sent     int
}

// Summary collects the outcomes by route.
type Summary struct {
	routes map[string]*RouteSummary
}

func newSummary() *Summary { return &Summary{routes: map[string]*RouteSummary{}} }

func (s *Summary) outcome(route string) *RouteSummary {
	if s.routes[route] == nil {
		s.routes[route] = &RouteSummary{Route: route}
	}
	return s.routes[route]
}

func (s *Summary) recordRequest(route string)   { s.outcome(route).Requests++ }
func (s *Summary) recordRejection(route string) { s.outcome(route).Rejected++ }

func (s *Summary) recordSend(route string, affinity float64) {
	outcome := s.outcome(route)
	outcome.sent++
	outcome.Affinity += (affinity - outcome.Affinity) / float64(outcome.sent)
}

func (s *Summary) recordServed(route string, duration, latencyTarget time.Duration) {
	outcome := s.outcome(route)
	if latencyTarget > 0 && duration > latencyTarget {
		outcome.Late++
	} else {
		outcome.Served++
	}
	outcome.MeanMs += (float64(duration.Milliseconds()) - outcome.MeanMs) / float64(outcome.Served+outcome.Late)
}

// Routes returns the outcomes sorted by name of the route.
func (s *Summary) Routes() []RouteSummary {
	outcomes := make([]RouteSummary, 0, len(s.routes))
	for _, outcome := range s.routes {
		outcomes = append(outcomes, *outcome)
	}
	sort.Slice(outcomes, func(left, right int) bool { return outcomes[left].Route < outcomes[right].Route })
	return outcomes
}

// Print writes the outcomes as a table.
func (s *Summary) Print(to io.Writer) {
	fmt.Fprintf(to, "%-24s %7s %7s %7s %8s %9s %9s\n", "route", "asked", "in aim", "late", "refused", "affinity", "mean ms")
	for _, summary := range s.Routes() {
		fmt.Fprintf(to, "%-24s %7d %7d %7d %8d %9.3f %9.1f\n",
			summary.Route, summary.Requests, summary.Served, summary.Late, summary.Rejected, summary.Affinity, summary.MeanMs)
	}
}
