package coordination

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The exploration visits every order of events of a small world: two callers, two nodes that own a lock in turn, calls that are late,
// doubled or lost, answers that are late or lost, and time. What never arrives within it is lost.
const (
	exploredTick = time.Second
	nobody       = -1
)

// lockScope bounds one exploration.
type lockScope struct {
	ticks int
	// sends is how many calls each caller makes, holds the lengths of holds, in ticks, that it asks for.
	sends [2]int
	holds [2][]int
	// doubles is how many calls may arrive twice, losses how many ownerships end without a successor.
	doubles, losses int
}

var lockScopes = map[string]lockScope{
	"late calls": {ticks: 3, sends: [2]int{3, 1}, holds: [2][]int{{2}, {2}}},
	"holds of different lengths, lost ownerships": {ticks: 3, sends: [2]int{2, 1}, holds: [2][]int{{1, 2}, {1}}, losses: 1},
	"doubled calls": {ticks: 3, sends: [2]int{2, 1}, holds: [2][]int{{2}, {1}}, doubles: 1},
}

// exploredCall is a call on its way.
type exploredCall struct {
	Caller, Number, Destination, Sent, Hold int
	Operation                               Operation
	Fence                                   uint64
}

// exploredAnswer is an answer on its way.
type exploredAnswer struct {
	Call   exploredCall
	Result Outcome
	Fence  uint64
}

// exploredCaller is an application. It counts itself holder before Until.
type exploredCaller struct {
	Sends int
	// Waiting is the number of the call that it waits for, 0 for none.
	Waiting int
	IsHolds bool
	Until   int
	Fence   uint64
}

// exploredOwner is what a node knows of the lock. IsLast says that nobody has owned the lock since.
type exploredOwner struct {
	IsLast bool
	lock   *Lock
}

// lockWorld is one state.
type lockWorld struct {
	scope   lockScope
	Now     int
	Callers [2]exploredCaller
	Calls   []exploredCall
	Answers []exploredAnswer
	// Owner is the node that owns the lock, or nobody; Value is what is stored.
	Owner int
	Value string
	// Doubles counts the calls that have arrived twice, Losses the ownerships that ended by themselves.
	Doubles, Losses int
	owners          [2]exploredOwner
}

// lockRules are those of the real nodes, or broken ones.
type lockRules struct {
	// forgetsHolder has a new owner take the lock for free.
	forgetsHolder bool
	// keepsTimes has a node go on with the times that it knew, though another owned the lock since.
	keepsTimes bool
	// releasesAnyFence has a release end the present hold of its caller, whatever its fence.
	releasesAnyFence bool
	// shortensHolds has a renewal for a shorter time count at once.
	shortensHolds bool
}

func (w lockWorld) key() string {
	memories := ""
	for _, owner := range w.owners {
		if owner.lock != nil {
			memories += fmt.Sprint(owner.IsLast, owner.lock.record, owner.lock.freeAt.Sub(testNow), ";")
		}
	}
	memories += fmt.Sprint(w.Now, w.Callers, w.Calls, w.Answers, w.Owner, w.Value, w.Doubles, w.Losses)
	return memories
}

func (w lockWorld) clone() lockWorld {
	w.Calls = append([]exploredCall(nil), w.Calls...)
	w.Answers = append([]exploredAnswer(nil), w.Answers...)
	for position, owner := range w.owners {
		if owner.lock != nil {
			copied := *owner.lock
			w.owners[position].lock = &copied
		}
	}
	return w
}

func (w lockWorld) clock() time.Time { return testNow.Add(time.Duration(w.Now) * exploredTick) }

// next returns all states that may follow.
func (w lockWorld) next(rules lockRules) []lockWorld {
	var following []lockWorld
	if w.Now < w.scope.ticks {
		later := w.clone()
		later.Now++
		following = append(following, later)
	}
	if w.Owner != nobody && w.Losses < w.scope.losses {
		lost := w.clone()
		lost.Owner = nobody
		lost.Losses++
		following = append(following, lost)
	}
	for caller := range w.Callers {
		following = append(following, w.sends(caller)...)
	}
	for position := range w.Calls {
		following = append(following, w.deliver(position, rules))
	}
	for position := range w.Answers {
		following = append(following, w.answer(position))
	}
	return following
}

// sends are the states after a caller has sent a call. It may give up the one that it waits for.
func (w lockWorld) sends(caller int) []lockWorld {
	state := w.Callers[caller]
	if state.Sends == w.scope.sends[caller] {
		return nil
	}
	operations := []Operation{OperationAcquire}
	if state.IsHolds && w.Now < state.Until {
		operations = []Operation{OperationRenew, OperationRelease, OperationAcquire}
	}
	var following []lockWorld
	for _, operation := range operations {
		for destination := range w.owners {
			for _, hold := range w.scope.holds[caller] {
				sent := w.clone()
				sent.send(caller, exploredCall{Operation: operation, Destination: destination, Hold: hold})
				following = append(following, sent)
			}
		}
	}
	return following
}

func (w *lockWorld) send(caller int, call exploredCall) {
	state := &w.Callers[caller]
	state.Sends++
	state.Waiting = state.Sends
	call.Caller, call.Number, call.Sent, call.Fence = caller, state.Sends, w.Now, state.Fence
	if call.Operation == OperationRelease {
		state.IsHolds = false
	}
	w.Calls = append(w.Calls, call)
	isStale := func(answered exploredAnswer) bool { return answered.Call.Caller == caller }
	w.Answers = slices.DeleteFunc(w.Answers, isStale)
}

// deliver is the state after a call has arrived at its destination, which takes the lock over if another owns it.
func (w lockWorld) deliver(position int, rules lockRules) lockWorld {
	after := w.clone()
	call := after.Calls[position]
	after.Calls = slices.Delete(after.Calls, position, position+1)
	if after.Doubles < w.scope.doubles {
		after.Doubles++
		after.Calls = append(after.Calls, call) // it comes again, or never
	}
	owner := &after.owners[call.Destination]
	if after.Owner != call.Destination {
		after.takeOver(call.Destination, rules)
	}
	if rules.releasesAnyFence && call.Operation == OperationRelease {
		call.Fence = owner.lock.record.Fence
	}
	if rules.shortensHolds && call.Operation == OperationRenew {
		owner.lock.freeAt, owner.lock.record.HoldMs = time.Time{}, 0
	}
	result, _ := owner.lock.Apply(Call{
		Operation: call.Operation,
		ID:        fmt.Sprint(call.Caller, call.Number),
		Holder:    fmt.Sprint("caller-", call.Caller),
		Fence:     call.Fence,
		TTLMs:     (time.Duration(call.Hold) * exploredTick).Milliseconds(),
	}, after.clock())
	after.Value = string(owner.lock.Value())
	if after.Callers[call.Caller].Waiting == call.Number {
		after.Answers = append(after.Answers, exploredAnswer{Call: call, Result: result.Outcome, Fence: result.Fence})
	}
	return after
}

func (w *lockWorld) takeOver(node int, rules lockRules) {
	owner := &w.owners[node]
	known := lockMemory{}
	if owner.lock != nil && (owner.IsLast || rules.keepsTimes) {
		known = owner.lock.VolatileState().lock
	}
	lock, err := openLock(json.RawMessage(w.Value), w.clock(), known)
	if err != nil {
		panic(err)
	}
	if rules.forgetsHolder {
		lock.freeAt = w.clock()
	}
	for position := range w.owners {
		w.owners[position].IsLast = position == node
	}
	w.Owner, owner.lock = node, lock
}

// answer is the state after an answer has come. One that nobody waits for any more is dropped when the caller gives up.
func (w lockWorld) answer(position int) lockWorld {
	after := w.clone()
	answered := after.Answers[position]
	after.Answers = append(after.Answers[:position], after.Answers[position+1:]...)
	state := &after.Callers[answered.Call.Caller]
	state.Waiting = 0
	until := answered.Call.Sent + answered.Call.Hold
	switch {
	case answered.Call.Operation == OperationRelease:
	case answered.Result == OutcomeLost:
		state.IsHolds = false
	case answered.Result == OutcomeDone && answered.Call.Operation == OperationAcquire:
		state.IsHolds, state.Until, state.Fence = true, until, answered.Fence
	case answered.Result == OutcomeDone && after.Now < state.Until:
		state.Until = until
	}
	return after
}

func (w lockWorld) hasTwoHolders() bool {
	for _, caller := range w.Callers {
		if !caller.IsHolds || w.Now >= caller.Until {
			return false
		}
	}
	return true
}

// exploreLock visits all states and returns how many there are, and one with two holders if there is any.
func exploreLock(scope lockScope, rules lockRules) (visited int, broken *lockWorld) {
	seen := map[string]bool{}
	pending := []lockWorld{{scope: scope, Owner: nobody}}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, following := range state.next(rules) {
			key := following.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			if following.hasTwoHolders() {
				return len(seen), &following
			}
			pending = append(pending, following)
		}
	}
	return len(seen), nil
}

func TestLock_NoOrderOfEventsHasTwoHolders(t *testing.T) {
	for name, scope := range lockScopes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, broken := exploreLock(scope, lockRules{})
			assert.Assert(t, broken == nil, "%+v", broken)
			t.Logf("%d states", visited)
		})
	}
}

func TestLock_ExplorationFindsBrokenRules(t *testing.T) {
	for name, rules := range map[string]lockRules{
		"a new owner that takes the lock for free":    {forgetsHolder: true},
		"times kept though another owned the lock":    {keepsTimes: true},
		"a late release that ends a newer hold":       {releasesAnyFence: true},
		"a renewal that shortens what a caller knows": {shortensHolds: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for scoped, scope := range lockScopes {
				if visited, broken := exploreLock(scope, rules); broken != nil {
					t.Logf("%s, after %d states: %+v", scoped, visited, *broken)
					return
				}
			}
			t.Fatal("no order of events has two holders")
		})
	}
}
