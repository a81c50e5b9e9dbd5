package replay

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// RouteSummary counts the outcomes of the requests of a route.
type RouteSummary struct {
	Route    string `json:"route"`
	Requests int    `json:"asked"`
	Served   int    `json:"served"` // within the latency target
	Late     int    `json:"late"`
	Rejected int    `json:"refused"`
	// Affinity is the mean share of a prompt that was cached at the replica to which it was sent.
	Affinity float64 `json:"affinity"`
	MeanMs   float64 `json:"meanMs"` // time to the first event
	sent     int
}

// Summary collects the outcomes by route.
type Summary struct {
	routes map[string]*RouteSummary
}

func newSummary() *Summary { return &Summary{routes: map[string]*RouteSummary{}} }

// route returns the summary of a route and creates it on first use.
func (s *Summary) route(name string) *RouteSummary {
	if s.routes[name] == nil {
		s.routes[name] = &RouteSummary{Route: name}
	}
	return s.routes[name]
}

func (s *Summary) recordRequest(route string)   { s.route(route).Requests++ }
func (s *Summary) recordRejection(route string) { s.route(route).Rejected++ }

func (s *Summary) recordSend(route string, affinity float64) {
	summary := s.route(route)
	summary.sent++
	summary.Affinity += (affinity - summary.Affinity) / float64(summary.sent)
}

func (s *Summary) recordServed(route string, duration, latencyTarget time.Duration) {
	summary := s.route(route)
	if latencyTarget > 0 && duration > latencyTarget {
		summary.Late++
	} else {
		summary.Served++
	}
	answered := float64(summary.Served + summary.Late)
	summary.MeanMs += (float64(duration.Milliseconds()) - summary.MeanMs) / answered
}

// Routes returns the summaries, sorted by the name of the route.
func (s *Summary) Routes() []RouteSummary {
	summaries := make([]RouteSummary, 0, len(s.routes))
	for _, summary := range s.routes {
		summaries = append(summaries, *summary)
	}
	sort.Slice(summaries, func(left, right int) bool { return summaries[left].Route < summaries[right].Route })
	return summaries
}

// Print writes the summaries as a table.
func (s *Summary) Print(to io.Writer) {
	fmt.Fprintf(to, "%-24s %7s %7s %7s %8s %9s %9s\n", "route", "asked", "in aim", "late", "refused", "affinity", "mean ms")
	for _, summary := range s.Routes() {
		fmt.Fprintf(to, "%-24s %7d %7d %7d %8d %9.3f %9.1f\n",
			summary.Route,
			summary.Requests,
			summary.Served,
			summary.Late,
			summary.Rejected,
			summary.Affinity,
			summary.MeanMs,
		)
	}
}
