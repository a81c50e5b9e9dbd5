package controlplane

import (
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
)

// answerHandler is what follows from the answer to an instruction.
type answerHandler func(w *Scheduler, one *managedReplica, action place.Action, now time.Time)

// answerHandlers holds what follows from each status; 0 stands for no answer and any other status.
var answerHandlers = map[int]answerHandler{
	http.StatusAccepted:           (*Scheduler).onAccepted,
	http.StatusOK:                 (*Scheduler).onAlreadyDone,
	http.StatusConflict:           (*Scheduler).onBusy,
	http.StatusPreconditionFailed: (*Scheduler).onFenced,
	http.StatusBadRequest:         (*Scheduler).onRejected,
	http.StatusMisdirectedRequest: (*Scheduler).onRejected,
	0:                             (*Scheduler).onUnknown,
}

// refusals are the answers that prove that an instruction changed nothing.
var refusals = map[int]bool{
	http.StatusOK:                 true,
	http.StatusConflict:           true,
	http.StatusPreconditionFailed: true,
	http.StatusBadRequest:         true,
	http.StatusMisdirectedRequest: true,
}

// onAlreadyDone asks for a report soon, which ends the change.
func (w *Scheduler) onAlreadyDone(one *managedReplica, _ place.Action, now time.Time) {
	one.pollAt = now.Add(reportLag)
}

// onBusy gives the change up and asks what the replica holds.
func (w *Scheduler) onBusy(one *managedReplica, _ place.Action, now time.Time) {
	one.pending = nil
	one.known = false
	one.pollAt = now.Add(busyPause)
}

// onFenced gives the change up: the replica has heard from a holder with a higher fence.
func (w *Scheduler) onFenced(one *managedReplica, _ place.Action, now time.Time) {
	one.pending = nil
	one.blocked = now.Add(refusedPause)
}

// onRejected gives the change up and leaves the replica alone for a while before it asks again
// what it holds.
func (w *Scheduler) onRejected(one *managedReplica, _ place.Action, now time.Time) {
	one.pending = nil
	one.known = false
	one.blocked = now.Add(refusedPause)
}

// onUnknown asks what the replica holds: the instruction may or may not have arrived.
func (w *Scheduler) onUnknown(one *managedReplica, _ place.Action, now time.Time) {
	one.pending = nil
	one.known = false
	one.pollAt = now.Add(unknownPause)
}

// onAnswer handles the answer to an instruction; an error counts as no answer.
func (w *Scheduler) onAnswer(one *managedReplica, action place.Action, status int, err error) {
	w.stirred = true
	w.log(action, status, err)
	if err != nil {
		status = 0
	}
	w.noteLoad(one, action, status, err)
	follow, known := answerHandlers[status]
	if !known {
		follow = answerHandlers[0]
	}
	follow(w, one, action, w.daemon.clock())
}

// noteLoad counts a load from the store from its acceptance on, and takes it back where the replica
// refused it or nothing was sent. Without a clear answer it goes on counting until a report tells.
func (w *Scheduler) noteLoad(one *managedReplica, action place.Action, status int, err error) {
	switch {
	case !fromStore(action) || err != nil:
	case status == http.StatusAccepted:
		w.loadsBegun(one.listed.ID, w.daemon.clock())
	case status == 0 || refusals[status]:
		w.loadRefused(action)
	}
}

// onAccepted asks for a report when the change should be over.
func (w *Scheduler) onAccepted(one *managedReplica, action place.Action, now time.Time) {
	one.sequence++
	one.began = now
	model, adapter, _ := strings.Cut(action.Model, "/")
	expected := reportLag
	if found, ok := w.modelOf(one.listed.Backend, model); ok && adapter == "" && action.Load {
		expected = nodesettings.Seconds(found.LoadTimeS)
		if !action.Stored {
			expected = time.Duration(float64(expected) * diskShare)
		}
		expected += 100 * time.Millisecond
	}
	one.pollAt = now.Add(max(expected, reportLag))
}

// modelOf finds a backend's model in the configuration.
func (w *Scheduler) modelOf(backend, name string) (*configuration.Model, bool) {
	_, index, found := w.table.Backend(backend)
	if !found {
		return nil, false
	}
	return w.table.Model(index, name)
}
