package coordinator

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"ferryspar/internal/coordination"
)

// checkTimeout bounds the linearizability check of one history.
const checkTimeout = 30 * time.Second

// check returns the first violation of the guarantees to applications, or nil.
func (r *records) check() error {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, check := range []func() error{
		func() error { return r.failure }, r.checkHolds, r.checkIssuedNumbers, r.checkWatches, r.checkAccesses,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkHolds detects overlapping holds of one lock by different callers, and fences that do not increase.
func (r *records) checkHolds() error {
	for position, first := range r.holds {
		for _, second := range r.holds[position+1:] {
			if first.lock != second.lock || first.caller == second.caller {
				continue
			}
			if first.from.Before(second.until) && second.from.Before(first.until) {
				return errors.Errorf("%s held by two: %+v and %+v", first.lock, first, second)
			}
			if first.fence == second.fence || isFenceTooLow(first, second) || isFenceTooLow(second, first) {
				return errors.Errorf("fences of %s: %+v and %+v", first.lock, first, second)
			}
		}
	}
	return nil
}

func isFenceTooLow(earlier, later hold) bool {
	return earlier.from.Before(later.sent) && later.fence <= earlier.fence
}

// checkIssuedNumbers detects numbers that were issued twice, and numbers that are lower than one issued before they were
// requested.
func (r *records) checkIssuedNumbers() error {
	for position, first := range r.issued {
		for _, second := range r.issued[position+1:] {
			if first.counter != second.counter {
				continue
			}
			if first.value == second.value || isNumberTooLow(first, second) || isNumberTooLow(second, first) {
				return errors.Errorf("numbers: %+v and %+v", first, second)
			}
		}
	}
	return nil
}

func isNumberTooLow(earlier, later issuedNumber) bool {
	return earlier.received.Before(later.sent) && later.value <= earlier.value
}

// checkWatches detects watchers that received different events, acknowledged puts that are missing from the events, and events of
// rejected puts.
func (r *records) checkWatches() error {
	seen := r.watched[0]
	revisions := map[string]uint64{}
	for _, event := range seen {
		if _, isDuplicate := revisions[event.Value]; isDuplicate {
			return errors.Errorf("%s has two revisions", event.Value)
		}
		revisions[event.Value] = event.Revision
	}
	for number, other := range r.watched {
		if len(other) != len(seen) {
			return errors.Errorf("watch %d saw %d puts, watch 0 saw %d", number, len(other), len(seen))
		}
		for position := range other {
			if other[position] != seen[position] {
				return errors.Errorf("watch %d saw %+v, watch 0 %+v", number, other[position], seen[position])
			}
		}
	}
	for _, done := range r.accesses {
		revision, isShown := revisions[done.value]
		switch {
		case done.isPut && done.outcome == coordination.OutcomeDone && revision != done.revision:
			return errors.Errorf("put %+v is shown at revision %d", done, revision)
		case done.isPut && isShown && (done.isRejected || done.outcome == coordination.OutcomeConflict):
			return errors.Errorf("put %+v was rejected and is shown at revision %d", done, revision)
		}
	}
	return nil
}

// keyModel is the state of the keys in the sequential model.
type keyModel struct {
	revision uint64
	keys     [keyCount]keyState
}

type keyState struct {
	value    string
	revision uint64
}

func keyPosition(key string) int { return int(key[len(group)] - '0') }

// stepKeys is the sequential specification of gets and puts, as a step function for porcupine.
func stepKeys(state, input, _ any) (bool, any) {
	model, done := state.(keyModel), input.(access)
	current := &model.keys[keyPosition(done.key)]
	if !done.isPut {
		return current.value == done.value && current.revision == done.revision, model
	}
	isExpected := done.expected == nil || *done.expected == current.revision
	if done.outcome == coordination.OutcomeConflict {
		return !isExpected && current.revision == done.revision, model
	}
	if !isExpected || done.revision <= model.revision {
		return false, model
	}
	model.revision, current.value, current.revision = done.revision, done.value, done.revision
	return true, model
}

// checkAccesses checks that the gets and puts are linearizable. A put without a definite answer took effect at some time if a
// watcher received it, and never otherwise.
func (r *records) checkAccesses() error {
	revisions := map[string]uint64{}
	for _, event := range r.watched[0] {
		revisions[event.Value] = event.Revision
	}
	var operations []porcupine.Operation
	for _, done := range r.accesses {
		received := done.received
		if done.isRejected {
			continue
		}
		if done.isIndefinite {
			if done.revision = revisions[done.value]; done.revision == 0 {
				continue
			}
			done.outcome, received = coordination.OutcomeDone, done.received.Add(time.Hour)
		}
		operations = append(operations, porcupine.Operation{
			ClientId: len(operations),
			Input:    done,
			Call:     done.sent.UnixNano(),
			Return:   received.UnixNano(),
		})
	}
	model := porcupine.Model{Init: func() any { return keyModel{} }, Step: stepKeys}
	if result := porcupine.CheckOperationsTimeout(model, operations, checkTimeout); result != porcupine.Ok {
		return errors.Errorf("no linear order of %d gets and puts: %s", len(operations), result)
	}
	return nil
}
