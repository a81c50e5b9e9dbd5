package controlplane

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// maxConcurrentPolls is how many reports are asked for at once.
const maxConcurrentPolls = 48

// duePolls are the replicas to ask for a report now: those with a change under way first, then
// unknown ones, by how many requests wait for what they once held.
func (s *Scheduler) duePolls(table *configuration.Table, now time.Time) []string {
	var pending, unknown []string
	polling := 0
	for _, id := range s.sortedIDs {
		tracked := s.tracked[id]
		switch {
		case !isPlacementTarget(table, tracked.listed.Backend):
		case tracked.state.IsPolling():
			polling++
		case !tracked.state.PollDue(now):
		case tracked.state.IsKnown():
			pending = append(pending, id)
		default:
			unknown = append(unknown, id)
		}
	}
	free := max(maxConcurrentPolls-polling-len(pending), 0)
	if len(unknown) > free {
		waiting := s.waitingRequests(unknown)
		slices.SortStableFunc(unknown, func(left, right string) int { return waiting[right] - waiting[left] })
		unknown = unknown[:free]
	}
	return append(pending, unknown...)
}

// waitingRequests counts, by replica, the requests that wait for models that it once held.
func (s *Scheduler) waitingRequests(ids []string) map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	waiting := make(map[string]int, len(ids))
	for _, id := range ids {
		tracked := s.tracked[id]
		for model := range s.modelsOnDisk[diskKey(tracked.listed)] {
			if demand := s.demand[placement.ModelKey(tracked.listed.Backend, model)]; demand != nil {
				waiting[id] += demand.Waiting
			}
		}
	}
	return waiting
}

// pollReport asks a replica for its report; the answer comes back to the scheduler's goroutine.
func (s *Scheduler) pollReport(ctx context.Context, id string) {
	tracked := s.tracked[id]
	address, polledAt := tracked.listed.Address, s.node.clock()
	tracked.state.PollStarted(polledAt)
	go func() {
		state, err := s.commander.FetchReport(ctx, address, id)
		s.callbacks <- func() {
			s.verifyDiskLoad(tracked, state, polledAt)
			s.handleReport(tracked, state, err)
		}
	}()
}

// handleReport takes in a report. Where it is adopted it ends the order under way.
func (s *Scheduler) handleReport(tracked *trackedReplica, report replica.Report, err error) {
	now := s.node.clock()
	s.dirty = true
	if err != nil {
		tracked.state.PollFailed(now)
		return
	}
	loaded := loadedReferences(report.Models)
	if !tracked.state.HandleReport(replicastate.Report{Sequence: report.Sequence, Busy: report.Busy, Loaded: loaded}, now) {
		return
	}
	tracked.reportedAt = now
	tracked.confirmedByList = false
	tracked.pendingAction = nil
	s.lock.Lock()
	s.recordModelsOnDisk(tracked.listed, loaded)
	s.lock.Unlock()
	s.refreshCordons(tracked, now)
	if now.Sub(s.publishedAt) >= publishInterval {
		s.publishObserved()
	}
}
