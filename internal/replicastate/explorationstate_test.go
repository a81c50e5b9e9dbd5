package replicastate

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// The exploration visits every reachable state of a small system: one replica with capacity for two of three models and for
// one of two adapters, successive grants of the lease, and a network that delays and loses orders and responses.

// allReferences lists the models and adapters; a references set has one bit for each.
var allReferences = []string{"a", "b", "c", "a/1", "a/2"}

const (
	modelMask   = 0b00111
	adapterMask = 0b11000
	tickLength  = time.Second
)

// tickTimings are whole ticks. A report shows the current state or that before the last tick.
var tickTimings = &Timings{
	ReportLag: tickLength, PollInterval: tickLength, UnknownOutcomeDelay: tickLength,
	RejectionBackoff: 2 * tickLength, MaxOrderLifetime: 2 * tickLength, MaxReportAge: tickLength, StaleReportWindow: 2 * tickLength,
}

// references is a set of allReferences.
type references uint8

func (s references) set() map[string]bool {
	found := map[string]bool{}
	for index, reference := range allReferences {
		if s&(1<<index) != 0 {
			found[reference] = true
		}
	}
	return found
}

func maskFor(set map[string]bool) references {
	var mask references
	for index, reference := range allReferences {
		if set[reference] {
			mask |= 1 << index
		}
	}
	return mask
}

func (s references) fits() bool {
	return bits.OnesCount8(uint8(s&modelMask)) <= 2 && bits.OnesCount8(uint8(s&adapterMask)) <= 1
}

// after returns the set that results from a change.
func (s references) after(change Change) references {
	if change.Load {
		return s | 1<<slices.Index(allReferences, change.Reference)
	}
	for index, reference := range allReferences {
		if reference == change.Reference || strings.HasPrefix(reference, change.Reference+"/") {
			s &^= 1 << index
		}
	}
	return s
}

// simulatedReplica is the replica's actual state. While busy is set, an order is being executed that leads to the set next.
type simulatedReplica struct {
	loaded, next references
	busy         bool
	sequence     int64
	highestFence uint64
}

func (r simulatedReplica) report() Report {
	return Report{Sequence: r.sequence, Busy: r.busy, Loaded: r.loaded.set()}
}

// orderMessage is an order in the network. Its call is open until it has ended at the holder.
type orderMessage struct {
	order   Order
	open    bool
	arrived bool
	outcome Outcome // once arrived
	endedAt time.Time
}

// moveBudget bounds how often the moves of each kind occur on one path.
type moveBudget struct{ orders, grants, restarts, foreignLoads int }

// systemState is one state of the system. foreignOrderAccepted is set once the replica has accepted an order of another grant
// since the current one began; fencedAt is when the holder last received the outcome Fenced.
type systemState struct {
	now                  time.Time
	replica              simulatedReplica
	previous             simulatedReplica // as of the last tick
	tracked              Replica
	messages             []orderMessage
	remaining            moveBudget
	foreignOrderAccepted bool
	fencedAt             time.Time
	violation            string
	parent               *systemState
	label                string // of the move that led here
}

// path lists the moves that led to a state.
func (s *systemState) path() []string {
	if s.parent == nil {
		return nil
	}
	return append(s.parent.path(), s.label)
}

func newSystemState(budget moveBudget) *systemState {
	s := &systemState{now: testStart, remaining: budget, tracked: *New(tickTimings, 1, time.Time{}, nil)}
	s.replica.loaded = references(0b00011)
	s.previous = s.replica
	return s
}

func (s *systemState) clone() *systemState {
	copied := *s
	copied.messages = slices.Clone(s.messages)
	copied.tracked.uncertain = slices.Clone(s.tracked.uncertain)
	return &copied
}

// key identifies the state: states with the same key behave in the same way. Times are encoded relative to now, and times
// four ticks or more in the past are encoded alike.
func (s *systemState) key() string {
	key := make([]byte, 0, 128)
	number := func(values ...int64) {
		for _, value := range values {
			key = binary.AppendVarint(key, value)
		}
	}
	flag := func(values ...bool) {
		for _, value := range values {
			if value {
				number(1)
			} else {
				number(0)
			}
		}
	}
	moment := func(at time.Time) {
		if at.IsZero() {
			number(-100)
			return
		}
		number(max(int64(at.Sub(s.now)/tickLength), -4))
	}
	change := func(change Change) {
		flag(change.Load)
		number(int64(slices.Index(allReferences, change.Reference)))
	}
	for _, replica := range []simulatedReplica{s.replica, s.previous} {
		number(int64(replica.loaded), int64(replica.next), replica.sequence, int64(replica.highestFence))
		flag(replica.busy)
	}
	known := &s.tracked
	number(int64(known.phase), known.sequence, int64(known.fence), int64(maskFor(known.loaded)), known.lastConflict.sequence)
	number(int64(known.mismatches), int64(len(known.uncertain)), int64(len(s.messages)))
	moment(known.earliestPollAt)
	moment(known.pollAt)
	moment(known.polledAt)
	moment(known.blockedUntil)
	moment(known.lastConflict.until)
	moment(known.lowerSequenceSince)
	change(known.current.Change)
	for _, order := range known.uncertain {
		change(order.Change)
		number(order.ExpectedSequence)
		moment(order.expiresAt)
		moment(order.seenRunningAt)
	}
	for _, message := range s.messages {
		change(message.order.Change)
		number(message.order.ExpectedSequence, int64(message.order.Fence), int64(message.outcome))
		flag(message.open, message.arrived)
		moment(message.endedAt)
	}
	number(int64(s.remaining.orders), int64(s.remaining.grants), int64(s.remaining.restarts), int64(s.remaining.foreignLoads))
	flag(s.foreignOrderAccepted)
	moment(s.fencedAt)
	return string(key)
}
