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

// outcomes holds what each status says of an order; any other status is no clear answer.
var outcomes = map[int]replicastate.Outcome{
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
	outcome, known := outcomes[status]
	if err != nil || !known {
		return replicastate.NoAnswer
	}
	return outcome
}

// onAnswer handles the end of an order's call.
func (w *Scheduler) onAnswer(one *managedReplica, order replicastate.Order, status int, err error) {
	w.stirred = true
	now := w.daemon.clock()
	w.logOrder(one, order, status, err)
	outcome := outcomeOf(status, err)
	w.noteLoad(one, outcome, now)
	one.state.Answer(order, outcome, now)
	if one.state.Phase() == replicastate.Changing {
		one.began = now
		one.state.ExpectDone(now.Add(w.expectedTime(one)))
		return
	}
	one.pending = nil
	if one.state.Phase() == replicastate.Idle {
		w.liftBars(one, now)
	}
}

// noteLoad counts a load from the store from its acceptance on, and takes it back where the replica refused it or nothing
// was sent. Without a clear answer it goes on counting as one that may begin. Answers that belong to an earlier grant
// change nothing: the budget counts their loads as begun.
func (w *Scheduler) noteLoad(one *managedReplica, outcome replicastate.Outcome, now time.Time) {
	if one.pending == nil || !fromStore(*one.pending) || w.managed[one.listed.ID] != one {
		return
	}
	switch outcome {
	case replicastate.NoAnswer:
	case replicastate.Accepted:
		w.loadsBegun(one.listed.ID, now)
	default:
		w.loadRefused(*one.pending)
	}
}

// expectedTime is how long the order that a replica has accepted should take.
func (w *Scheduler) expectedTime(one *managedReplica) time.Duration {
	action := one.pending
	if action == nil || !action.Load {
		return reportLag
	}
	model, adapter, _ := strings.Cut(action.Model, "/")
	found, known := w.modelOf(one.listed.Backend, model)
	if !known || adapter != "" {
		return reportLag
	}
	expected := nodesettings.Seconds(found.LoadTimeS)
	if !action.FromStore {
		expected = time.Duration(float64(expected) * diskShare)
	}
	return max(expected+100*time.Millisecond, reportLag)
}

// liftBars lets the data planes use again what no order unloads any more.
func (w *Scheduler) liftBars(one *managedReplica, now time.Time) {
	one.barred = map[string]bool{}
	for _, change := range one.state.Doubtful() {
		if !change.Load {
			w.barReferences(one, change.Reference)
		}
	}
	one.stale, w.unshown = true, true
}

// modelOf finds a backend's model in the configuration.
func (w *Scheduler) modelOf(backend, name string) (*configuration.Model, bool) {
	_, index, found := w.table.Backend(backend)
	if !found {
		return nil, false
	}
	return w.table.Model(index, name)
}

// logOrder logs an order with the end of its call.
func (w *Scheduler) logOrder(one *managedReplica, order replicastate.Order, status int, err error) {
	why := ""
	if one.pending != nil {
		why = one.pending.Reason
	}
	logrus.WithFields(logrus.Fields{
		"replica": one.listed.ID, "load": order.Load, "model": order.Reference, "why": why, "status": status,
		"fence": order.Fence, "expected": order.Expected, "problem": err,
	}).Info("placement order")
}
