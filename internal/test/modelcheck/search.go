package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits bound a search. A zero value means no limit.
type Limits struct {
	// Depth is the maximum number of actions in a sequence.
	Depth int
	// States is the maximum number of visited worlds.
	States int
	// Timeout is the maximum duration of the search, in real time.
	Timeout time.Duration
	// Progress, if set, is called after each level of the breadth-first search.
	Progress func(Report)
}

// Report is the result of a search. The command line prints it as JSON.
type Report struct {
	Scenario    string        `json:"scenario"`
	States      int           `json:"states"`
	Transitions int           `json:"transitions"`
	Depth       int           `json:"depth"`
	Duration    time.Duration `json:"tookNs"`
	// Exhausted means that every reachable world of the scenario was visited.
	Exhausted bool `json:"exhausted"`
	// Reached lists the labels acknowledged in some world and the memberships adopted. It shows that the scenario makes
	// progress: without that, the absence of violations proves nothing.
	Reached []string `json:"reached"`
	// Violation is the invariant that failed, Trace a shortest sequence of events that leads to the failure.
	Violation string   `json:"violation,omitempty"`
	Trace     []string `json:"trace,omitempty"`
}

// String returns the report in one line, followed by the trace if there is one.
func (r Report) String() string {
	text := fmt.Sprintf("%s: %d states, %d transitions, depth %d, %s, exhausted %t, reached %s",
		r.Scenario, r.States, r.Transitions, r.Depth, r.Duration.Round(time.Millisecond), r.Exhausted, strings.Join(r.Reached, " "))
	if r.Violation == "" {
		return text
	}
	text += fmt.Sprintf("\nviolated after %d events: %s", len(r.Trace), r.Violation)
	return text + "\n  " + strings.Join(r.Trace, "\n  ")
}

// pathStep is the action by which a world was first reached, and the index of its parent's step.
type pathStep struct {
	parent int32
	action action
}

// search is the state of one search: the hashes of all visited worlds, and the steps by which they were reached.
type search struct {
	model   *model
	limits  Limits
	started time.Time
	steps   []pathStep
	visited map[uint64]struct{}
	report  Report
}

// frontierEntry is a world of the current level; step is its index in the steps.
type frontierEntry struct {
	world *world
	step  int32
}

// Search explores the worlds of a scenario under the given rules until all are visited, an invariant is violated or a limit
// is reached. It uses one processor.
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
			s.report.Trace = s.trace(from.step, event)
			return nil, true
		}
		hash := next.hash()
		if _, seen := s.visited[hash]; seen {
			continue
		}
		s.visited[hash] = struct{}{}
		s.steps = append(s.steps, pathStep{parent: from.step, action: event})
		found = append(found, frontierEntry{world: next, step: int32(len(s.steps) - 1)})
	}
	return found, false
}

// trace replays the actions that lead to a world, and describes each of them.
func (s *search) trace(step int32, last action) []string {
	path := []action{last}
	for ; step > 0; step = s.steps[step].parent {
		path = append(path, s.steps[step].action)
	}
	slices.Reverse(path)
	world := s.model.initialWorld()
	var lines []string
	for _, event := range path {
		lines = append(lines, s.model.describe(world, event))
		world, _ = s.model.apply(world, event)
	}
	return lines
}
