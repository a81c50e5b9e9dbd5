package coordination

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The exploration is a small model checker: it visits every order of events of two callers and two nodes that own a lock in turn,
// with calls that are delayed, duplicated or lost, answers that are delayed or lost, and passing time. A message that is never
// delivered within the bounds counts as lost.
const (
	tick    = time.Second
	noOwner = -1
)

// explorationBounds bounds one exploration.
type explorationBounds struct {
	ticks int
	// calls is how many calls each caller makes, ttls the TTLs that it requests, in ticks.
	calls [2]int
	ttls  [2][]int
	// maxDuplicates is how many calls may arrive twice, maxLostOwnerships how many ownerships may end without a successor.
	maxDuplicates, maxLostOwnerships int
}

var explorationCases = map[string]explorationBounds{
	"delayed calls":                   {ticks: 3, calls: [2]int{3, 1}, ttls: [2][]int{{2}, {2}}},
	"different TTLs, lost ownerships": {ticks: 3, calls: [2]int{2, 1}, ttls: [2][]int{{1, 2}, {1}}, maxLostOwnerships: 1},
	"duplicated calls":                {ticks: 3, calls: [2]int{2, 1}, ttls: [2][]int{{2}, {1}}, maxDuplicates: 1},
}

// exploredCall is a call in transit.
type exploredCall struct {
	Caller, Number, Destination, Sent, TTL int
	Operation                              Operation
	Fence                                  uint64
}

// exploredAnswer is an answer in transit.
type exploredAnswer struct {
	Call   exploredCall
	Result Outcome
	Fence  uint64
}

// exploredCaller is an application. It considers itself the holder until ExpiresAt.
type exploredCaller struct {
	CallCount int
	// PendingCall is the number of the call that it waits for, 0 for none.
	PendingCall int
	IsHolder    bool
	ExpiresAt   int
	Fence       uint64
}

// exploredOwner is what a node knows of the lock. WasLastOwner reports that no other node has owned the lock since.
type exploredOwner struct {
	WasLastOwner bool
	lock         *Lock
}

// exploredState is one state of the model.
type exploredState struct {
	bounds  explorationBounds
	Now     int
	Callers [2]exploredCaller
	Calls   []exploredCall
	Answers []exploredAnswer
	// Owner is the node that owns the lock, or noOwner; Value is the stored value.
	Owner int
	Value string
	// Duplicates counts the calls that have arrived twice, LostOwnerships the ownerships that ended without a successor.
	Duplicates, LostOwnerships int
	owners                     [2]exploredOwner
}

// lockFaults are faults to inject into the nodes, which the exploration must detect.
type lockFaults struct {
	// skipsTakeoverWait makes a new owner treat the lock as free at once.
	skipsTakeoverWait bool
	// reusesStaleTimes makes a node use the times that it knew although another node has owned the lock since.
	reusesStaleTimes bool
	// releasesAnyFence makes a release free the lock if its caller holds it, whatever its fence.
	releasesAnyFence bool
	// shortensTTL makes a renewal with a shorter TTL take effect at once.
	shortensTTL bool
}

func (s exploredState) key() string {
	key := ""
	for _, owner := range s.owners {
		if owner.lock != nil {
			key += fmt.Sprint(owner.WasLastOwner, owner.lock.record, owner.lock.expiresAt.Sub(testNow), ";")
		}
	}
	key += fmt.Sprint(s.Now, s.Callers, s.Calls, s.Answers, s.Owner, s.Value, s.Duplicates, s.LostOwnerships)
	return key
}

func (s exploredState) clone() exploredState {
	s.Calls = append([]exploredCall(nil), s.Calls...)
	s.Answers = append([]exploredAnswer(nil), s.Answers...)
	for position, owner := range s.owners {
		if owner.lock != nil {
			copied := *owner.lock
			s.owners[position].lock = &copied
		}
	}
	return s
}

func (s exploredState) clock() time.Time { return testNow.Add(time.Duration(s.Now) * tick) }

// successors returns all possible next states.
func (s exploredState) successors(faults lockFaults) []exploredState {
	var following []exploredState
	if s.Now < s.bounds.ticks {
		later := s.clone()
		later.Now++
		following = append(following, later)
	}
	if s.Owner != noOwner && s.LostOwnerships < s.bounds.maxLostOwnerships {
		lost := s.clone()
		lost.Owner = noOwner
		lost.LostOwnerships++
		following = append(following, lost)
	}
	for caller := range s.Callers {
		following = append(following, s.afterSend(caller)...)
	}
	for position := range s.Calls {
		following = append(following, s.afterDelivery(position, faults))
	}
	for position := range s.Answers {
		following = append(following, s.afterAnswer(position))
	}
	return following
}

// afterSend returns the states after a caller has sent a call. The caller may abandon a pending call.
func (s exploredState) afterSend(caller int) []exploredState {
	state := s.Callers[caller]
	if state.CallCount == s.bounds.calls[caller] {
		return nil
	}
	operations := []Operation{OperationAcquire}
	if state.IsHolder && s.Now < state.ExpiresAt {
		operations = []Operation{OperationRenew, OperationRelease, OperationAcquire}
	}
	var following []exploredState
	for _, operation := range operations {
		for destination := range s.owners {
			for _, ttl := range s.bounds.ttls[caller] {
				sent := s.clone()
				sent.send(caller, exploredCall{Operation: operation, Destination: destination, TTL: ttl})
				following = append(following, sent)
			}
		}
	}
	return following
}

func (s *exploredState) send(caller int, call exploredCall) {
	state := &s.Callers[caller]
	state.CallCount++
	state.PendingCall = state.CallCount
	call.Caller, call.Number, call.Sent, call.Fence = caller, state.CallCount, s.Now, state.Fence
	if call.Operation == OperationRelease {
		state.IsHolder = false
	}
	s.Calls = append(s.Calls, call)
	isStale := func(answered exploredAnswer) bool { return answered.Call.Caller == caller }
	s.Answers = slices.DeleteFunc(s.Answers, isStale)
}

// afterDelivery returns the state after a call has arrived at its destination, which takes the lock over if it is not the owner.
func (s exploredState) afterDelivery(position int, faults lockFaults) exploredState {
	after := s.clone()
	call := after.Calls[position]
	after.Calls = slices.Delete(after.Calls, position, position+1)
	if after.Duplicates < s.bounds.maxDuplicates {
		after.Duplicates++
		after.Calls = append(after.Calls, call) // delivered a second time, or lost
	}
	owner := &after.owners[call.Destination]
	if after.Owner != call.Destination {
		after.takeOver(call.Destination, faults)
	}
	if faults.releasesAnyFence && call.Operation == OperationRelease {
		call.Fence = owner.lock.record.Fence
	}
	if faults.shortensTTL && call.Operation == OperationRenew {
		owner.lock.expiresAt, owner.lock.record.MaxTTLMs = time.Time{}, 0
	}
	result, _ := owner.lock.Apply(Call{
		Operation: call.Operation,
		ID:        fmt.Sprint(call.Caller, call.Number),
		Holder:    fmt.Sprint("caller-", call.Caller),
		Fence:     call.Fence,
		TTLMs:     (time.Duration(call.TTL) * tick).Milliseconds(),
	}, after.clock())
	after.Value = string(owner.lock.Value())
	if after.Callers[call.Caller].PendingCall == call.Number {
		after.Answers = append(after.Answers, exploredAnswer{Call: call, Result: result.Outcome, Fence: result.Fence})
	}
	return after
}

func (s *exploredState) takeOver(node int, faults lockFaults) {
	owner := &s.owners[node]
	previous := lockTimes{}
	if owner.lock != nil && (owner.WasLastOwner || faults.reusesStaleTimes) {
		previous = owner.lock.VolatileState().lock
	}
	lock, err := openLock(json.RawMessage(s.Value), s.clock(), previous)
	if err != nil {
		panic(err)
	}
	if faults.skipsTakeoverWait {
		lock.expiresAt = s.clock()
	}
	for position := range s.owners {
		s.owners[position].WasLastOwner = position == node
	}
	s.Owner, owner.lock = node, lock
}

// afterAnswer returns the state after an answer has arrived. Answers to a call that its caller abandons are dropped then.
func (s exploredState) afterAnswer(position int) exploredState {
	after := s.clone()
	answered := after.Answers[position]
	after.Answers = append(after.Answers[:position], after.Answers[position+1:]...)
	state := &after.Callers[answered.Call.Caller]
	state.PendingCall = 0
	expiresAt := answered.Call.Sent + answered.Call.TTL
	switch {
	case answered.Call.Operation == OperationRelease:
	case answered.Result == OutcomeLost:
		state.IsHolder = false
	case answered.Result == OutcomeDone && answered.Call.Operation == OperationAcquire:
		state.IsHolder, state.ExpiresAt, state.Fence = true, expiresAt, answered.Fence
	case answered.Result == OutcomeDone && after.Now < state.ExpiresAt:
		state.ExpiresAt = expiresAt
	}
	return after
}

func (s exploredState) hasTwoHolders() bool {
	for _, caller := range s.Callers {
		if !caller.IsHolder || s.Now >= caller.ExpiresAt {
			return false
		}
	}
	return true
}

// exploreLock visits the reachable states and returns how many it saw, and the first one with two holders, if any.
func exploreLock(bounds explorationBounds, faults lockFaults) (visited int, broken *exploredState) {
	seen := map[string]bool{}
	pending := []exploredState{{bounds: bounds, Owner: noOwner}}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, following := range state.successors(faults) {
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

func TestLock_NoEventOrderHasTwoHolders(t *testing.T) {
	for name, bounds := range explorationCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, broken := exploreLock(bounds, lockFaults{})
			assert.Assert(t, broken == nil, "%+v", broken)
			t.Logf("%d states", visited)
		})
	}
}

func TestLock_ExplorationDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]lockFaults{
		"new owner does not wait for the holder":    {skipsTakeoverWait: true},
		"times reused after another owned the lock": {reusesStaleTimes: true},
		"delayed release ends a newer acquisition":  {releasesAnyFence: true},
		"renewal shortens the TTL":                  {shortensTTL: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for name, bounds := range explorationCases {
				if visited, broken := exploreLock(bounds, faults); broken != nil {
					t.Logf("%s, after %d states: %+v", name, visited, *broken)
					return
				}
			}
			t.Fatal("no order of events has two holders")
		})
	}
}
