package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits bound a search. Zero leaves a limit out.
type Limits struct {
	// Depth is the greatest number of actions in a row.
	Depth int
	// States is how many worlds are visited.
	States int
	// Timeout is how long the search may take, by the real clock.
	Timeout time.Duration
	// Progress, if set, is called after each level.
	Progress func(Report)
}

// Report is what a search found, also as JSON on the command line.
type Report struct {
	Scenario    string        `json:"scenario"`
	States      int           `json:"states"`
	Transitions int           `json:"transitions"`
	Depth       int           `json:"depth"`
	Duration    time.Duration `json:"tookNs"`
	// Exhausted says that every world within the scenario was visited.
	Exhausted bool `json:"exhausted"`
	// Reached lists what was acknowledged in some world, and the memberships adopted: a scenario that never gets anywhere
	// proves nothing.
	Reached []string `json:"reached"`
	// Violation is the invariant that failed, Trace a shortest way there.
	Violation string   `json:"violation,omitempty"`
	Trace     []string `json:"trace,omitempty"`
}

// String is the report in one line, with the trace below it if there is one.
func (r Report) String() string {
	text := fmt.Sprintf("%s: %d states, %d transitions, depth %d, %s, exhausted %t, reached %s",
		r.Scenario, r.States, r.Transitions, r.Depth, r.Duration.Round(time.Millisecond), r.Exhausted, strings.Join(r.Reached, " "))
	if r.Violation == "" {
		return text
	}
	text += fmt.Sprintf("\nviolated after %d events: %s", len(r.Trace), r.Violation)
	return text + "\n  " + strings.Join(r.Trace, "\n  ")
}

// pathStep is how a world was reached first.
type pathStep struct {
	parent int32
	action action
}

// search is one walk: the worlds of one level, and of all how they were reached.
type search struct {
	model   *model
	limits  Limits
	started time.Time
	steps   []pathStep
	visited map[uint64]struct{}
	report  Report
}

// frontierEntry is a world of the level that is expanded; at is its place among the steps.
type frontierEntry struct {
	world *world
	at    int32
}

// Search visits the worlds of a scenario under rules until it has seen all, found a violation
// or met a limit. It uses one processor.
func Search(ctx context.Context, scenario Scenario, rules Rules, limits Limits) Report {
	walk := &search{
		model:   newModel(scenario, rules),
		limits:  limits,
		started: time.Now(),
		visited: map[uint64]struct{}{},
		report:  Report{Scenario: scenario.Name},
	}
	walk.run(ctx)
	walk.report.Reached = walk.model.reached()
	walk.report.States, walk.report.Duration = len(walk.steps), time.Since(walk.started)
	return walk.report
}

func (s *search) run(ctx context.Context) {
	first := s.model.initialWorld()
	s.visited[first.hash()] = struct{}{}
	s.steps = append(s.steps, pathStep{parent: -1})
	level := []frontierEntry{{world: first}}
	for len(level) > 0 {
		if s.limits.Depth > 0 && s.report.Depth >= s.limits.Depth {
			return
		}
		var next []frontierEntry
		for _, entry := range level {
			if s.limitReached(ctx) {
				return
			}
			found, violated := s.expand(entry)
			if violated {
				return
			}
			next = append(next, found...)
		}
		if len(next) > 0 {
			s.report.Depth++
		}
		level = next
		s.reportProgress()
	}
	s.report.Exhausted = true
}

func (s *search) limitReached(ctx context.Context) bool {
	if s.limits.States > 0 && len(s.steps) >= s.limits.States {
		return true
	}
	if s.limits.Timeout > 0 && time.Since(s.started) >= s.limits.Timeout {
		return true
	}
	return ctx.Err() != nil
}

func (s *search) reportProgress() {
	if s.limits.Progress == nil {
		return
	}
	s.report.States, s.report.Duration = len(s.steps), time.Since(s.started)
	s.limits.Progress(s.report)
}

func (s *search) expand(from frontierEntry) (found []frontierEntry, violated bool) {
	for _, event := range s.model.actions(from.world) {
		next, err := s.model.apply(from.world, event)
		s.report.Transitions++
		if err != nil {
			s.report.Violation = err.Error()
			s.report.Trace = s.trace(from.at, event)
			return nil, true
		}
		hash := next.hash()
		if _, seen := s.visited[hash]; seen {
			continue
		}
		s.visited[hash] = struct{}{}
		s.steps = append(s.steps, pathStep{parent: from.at, action: event})
		found = append(found, frontierEntry{world: next, at: int32(len(s.steps) - 1)})
	}
	return found, false
}

// trace plays the way to a world again, to describe each action on it.
func (s *search) trace(at int32, last action) []string {
	moves := []action{last}
	for ; at > 0; at = s.steps[at].parent {
		moves = append(moves, s.steps[at].action)
	}
	slices.Reverse(moves)
	world := s.model.initialWorld()
	var lines []string
	for _, step := range moves {
		lines = append(lines, s.model.describe(world, step))
		world, _ = s.model.apply(world, step)
	}
	return lines
}
