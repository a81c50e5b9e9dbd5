package controlplane

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/place"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// pollsAtOnce is how many reports are asked for at once.
const pollsAtOnce = 48

// duePolls are the replicas to ask for a report now: those with a change under way first, then
// unknown ones, by how many requests wait for what they once held.
func (w *Scheduler) duePolls(table *configuration.Table, now time.Time) []string {
	var pending, unknown []string
	asking := 0
	for _, id := range w.order {
		one := w.managed[id]
		switch {
		case !isPlaced(table, one.listed.Backend):
		case one.state.Asking():
			asking++
		case !one.state.AskDue(now):
		case one.state.Known():
			pending = append(pending, id)
		default:
			unknown = append(unknown, id)
		}
	}
	room := max(pollsAtOnce-asking-len(pending), 0)
	if len(unknown) > room {
		wanted := w.waitingFor(unknown)
		slices.SortStableFunc(unknown, func(left, right string) int { return wanted[right] - wanted[left] })
		unknown = unknown[:room]
	}
	return append(pending, unknown...)
}

// waitingFor counts, by replica, the requests that wait for models that it once held.
func (w *Scheduler) waitingFor(ids []string) map[string]int {
	w.lock.Lock()
	defer w.lock.Unlock()
	wanted := make(map[string]int, len(ids))
	for _, id := range ids {
		one := w.managed[id]
		for model := range w.heldOnce[diskOf(one.listed)] {
			if demand := w.demand[place.ModelKey(one.listed.Backend, model)]; demand != nil {
				wanted[id] += demand.Waiting
			}
		}
	}
	return wanted
}

// pollReport asks a replica for its report; the answer comes back to the scheduler's goroutine.
func (w *Scheduler) pollReport(ctx context.Context, id string) {
	one := w.managed[id]
	address, askedAt := one.listed.Address, w.daemon.clock()
	one.state.AskStarted(askedAt)
	go func() {
		state, err := w.commander.FetchReport(ctx, address, id)
		w.results <- func() {
			w.checkDisk(one, state, askedAt)
			w.applyReport(one, state, err)
		}
	}()
}

// applyReport takes in a report. Where it is adopted it ends the order under way.
func (w *Scheduler) applyReport(one *managedReplica, report replica.Report, err error) {
	now := w.daemon.clock()
	w.stirred = true
	if err != nil {
		one.state.AskFailed(now)
		return
	}
	held := references(report.Models)
	if !one.state.Reported(replicastate.Report{Sequence: report.Sequence, Busy: report.Busy, Held: held}, now) {
		return
	}
	one.overlayAt = now
	one.matched = false
	one.pending = nil
	w.lock.Lock()
	w.remember(one.listed, held)
	w.lock.Unlock()
	w.liftBars(one, now)
	if now.Sub(w.shown) >= showPause {
		w.showOverlays()
	}
}
