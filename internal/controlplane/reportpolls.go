package controlplane

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/place"
	"ferryspar/internal/replica"
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
		case one.asking:
			asking++
		case now.Before(one.pollAt) || now.Before(one.blocked):
		case one.pending != nil:
			pending = append(pending, id)
		case !one.known:
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
			if demand := w.demand[place.Key(one.listed.Backend, model)]; demand != nil {
				wanted[id] += demand.Waiting
			}
		}
	}
	return wanted
}

// pollReport asks a replica for its report; the answer comes back to the scheduler's goroutine.
func (w *Scheduler) pollReport(ctx context.Context, id string) {
	one := w.managed[id]
	one.asking = true
	address := one.listed.Address
	askedAt := w.daemon.clock()
	go func() {
		state, err := w.commander.Report(ctx, address, id)
		w.results <- func() {
			w.checkDisk(one, state, askedAt)
			w.applyReport(one, state, err)
		}
	}()
}

// applyReport adopts a report. A busy replica and one that lags behind its sequence are asked
// again; a report against the pending change counts only when it has come several times and late
// enough.
func (w *Scheduler) applyReport(one *managedReplica, state replica.State, err error) {
	now := w.daemon.clock()
	one.asking, w.stirred = false, true
	one.pollAt = now.Add(busyPause)
	if err != nil {
		one.pollAt = now.Add(2 * busyPause)
		return
	}
	if state.Busy || state.Sequence < one.sequence {
		return
	}
	if one.pending != nil && one.pending.Load != references(state.Models)[one.pending.Model] {
		if one.mismatch++; one.mismatch < mismatchesNeeded || now.Sub(one.began) < reportLag {
			return
		}
	}
	one.mismatch = 0
	one.models = references(state.Models)
	one.overlayAt = now
	one.sequence = state.Sequence
	one.known = true
	one.pending = nil
	w.loadsBegun(one.listed.ID, now)
	one.barred = map[string]bool{}
	w.lock.Lock()
	w.remember(one.listed, one.models)
	w.lock.Unlock()
	one.stale, w.unshown = true, true
	if now.Sub(w.shown) >= showPause {
		w.showOverlays()
	}
}
