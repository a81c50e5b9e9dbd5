package controlplane

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// outcomeByStatus holds what each status says of an order; any other status is no clear answer.
var outcomeByStatus = map[int]replicastate.Outcome{
	0:                             replicastate.NotSent,
	http.StatusAccepted:           replicastate.Accepted,
	http.StatusOK:                 replicastate.AlreadyDone,
	http.StatusConflict:           replicastate.Conflict,
	http.StatusPreconditionFailed: replicastate.Fenced,
	http.StatusBadRequest:         replicastate.Rejected,
	http.StatusMisdirectedRequest: replicastate.Rejected,
}

// outcomeOf is what the end of an order's call says; an error says nothing, unless it is that nothing was sent.
func outcomeOf(status int, err error) replicastate.Outcome {
	if errors.Is(err, replica.ErrNotSent) {
		return replicastate.Unreached
	}
	outcome, known := outcomeByStatus[status]
	if err != nil || !known {
		return replicastate.NoAnswer
	}
	return outcome
}

// handleOrderResponse handles the end of an order's call.
func (s *Scheduler) handleOrderResponse(tracked *trackedReplica, order replicastate.Order, status int, err error) {
	s.dirty = true
	now := s.node.clock()
	s.logOrder(tracked, order, status, err)
	outcome := outcomeOf(status, err)
	s.recordLoadOutcome(tracked, outcome, now)
	tracked.state.HandleResponse(order, outcome, now)
	if tracked.state.Phase() == replicastate.Changing {
		tracked.startedAt = now
		tracked.state.ExpectDone(now.Add(s.expectedDuration(tracked)))
		return
	}
	tracked.pendingAction = nil
	if tracked.state.Phase() == replicastate.Idle {
		s.refreshCordons(tracked, now)
	}
}

// recordLoadOutcome counts a load from the store from its acceptance on, and takes it back where the replica refused it or nothing
// was sent. Without a clear answer it goes on counting as one that may begin. Answers that belong to an earlier grant
// change nothing: the budget counts their loads as begun.
func (s *Scheduler) recordLoadOutcome(tracked *trackedReplica, outcome replicastate.Outcome, now time.Time) {
	if tracked.pendingAction == nil || !loadsFromStore(*tracked.pendingAction) || s.tracked[tracked.listed.ID] != tracked {
		return
	}
	switch outcome {
	case replicastate.NoAnswer:
	case replicastate.Accepted:
		s.recordStartedLoads(tracked.listed.ID, now)
	default:
		s.recordRejectedLoad(*tracked.pendingAction)
	}
}

// expectedDuration is how long the order that a replica has accepted should take.
func (s *Scheduler) expectedDuration(tracked *trackedReplica) time.Duration {
	action := tracked.pendingAction
	if action == nil || !action.Load {
		return reportLag
	}
	model, adapter, _ := strings.Cut(action.Model, "/")
	found, known := s.findModel(tracked.listed.Backend, model)
	if !known || adapter != "" {
		return reportLag
	}
	expected := nodesettings.Seconds(found.LoadTimeS)
	if !action.FromStore {
		expected = time.Duration(float64(expected) * diskLoadTimeShare)
	}
	return max(expected+100*time.Millisecond, reportLag)
}

// refreshCordons lets the data planes use again what no order unloads any more.
func (s *Scheduler) refreshCordons(tracked *trackedReplica, now time.Time) {
	tracked.cordoned = map[string]bool{}
	for _, change := range tracked.state.UncertainChanges() {
		if !change.Load {
			s.cordonReferences(tracked, change.Reference)
		}
	}
	tracked.unpublished, s.unpublished = true, true
}

// findModel finds a backend's model in the configuration.
func (s *Scheduler) findModel(backend, name string) (*configuration.Model, bool) {
	_, index, found := s.table.Backend(backend)
	if !found {
		return nil, false
	}
	return s.table.Model(index, name)
}

// logOrder logs an order with the end of its call.
func (s *Scheduler) logOrder(tracked *trackedReplica, order replicastate.Order, status int, err error) {
	why := ""
	if tracked.pendingAction != nil {
		why = tracked.pendingAction.Reason
	}
	logrus.WithFields(logrus.Fields{
		"replica": tracked.listed.ID, "load": order.Load, "model": order.Reference, "why": why, "status": status,
		"fence": order.Fence, "expected": order.Expected, "problem": err,
	}).Info("placement order")
}
