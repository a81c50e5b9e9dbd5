package replicastate

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// The walk visits every state that a small world can reach: one replica with capacity for two of three models and for
// one of two adapters, one grant of the lease after another, and what the network may do with orders and answers.
var walkReferences = []string{"a", "b", "c", "a/1", "a/2"}

const (
	walkModels   = 0b00111
	walkAdapters = 0b11000
	walkTick     = time.Second
)

// walkTimings are in ticks; a report shows the present or the state before the last tick.
var walkTimings = &Timings{
	ReportLag: walkTick, PollInterval: walkTick, UnknownOutcomeDelay: walkTick,
	RejectionBackoff: 2 * walkTick, MaxOrderLifetime: 2 * walkTick, MaxReportAge: walkTick, StaleReportWindow: 2 * walkTick,
}

// references is a set of walkReferences.
type references uint8

func (s references) set() map[string]bool {
	found := map[string]bool{}
	for index, reference := range walkReferences {
		if s&(1<<index) != 0 {
			found[reference] = true
		}
	}
	return found
}

func maskFor(set map[string]bool) references {
	var mask references
	for index, reference := range walkReferences {
		if set[reference] {
			mask |= 1 << index
		}
	}
	return mask
}

func (s references) fits() bool {
	return bits.OnesCount8(uint8(s&walkModels)) <= 2 && bits.OnesCount8(uint8(s&walkAdapters)) <= 1
}

// changed returns the set after a change.
func (s references) changed(change Change) references {
	if change.Load {
		return s | 1<<slices.Index(walkReferences, change.Reference)
	}
	for index, reference := range walkReferences {
		if reference == change.Reference || strings.HasPrefix(reference, change.Reference+"/") {
			s &^= 1 << index
		}
	}
	return s
}

// walkReplica is the replica's own state. Busy is set while an order is carried out: next is what it has loaded then.
type walkReplica struct {
	loaded, next references
	busy         bool
	sequence     int64
	highestFence uint64
}

func (r walkReplica) report() Report {
	return Report{Sequence: r.sequence, Busy: r.busy, Loaded: r.loaded.set()}
}

// walkMessage is an order in the network. The call is open until the holder has learned of its end.
type walkMessage struct {
	order   Order
	open    bool
	arrived bool
	outcome Outcome // once arrived
	endedAt time.Time
}

// walkBudget bounds the moves of a world.
type walkBudget struct{ orders, grants, restarts, strangers int }

// walkWorld is one state of the world. foreignOrderTaken is set once an order of another grant was accepted since the present
// one began, fencedAt is when the holder learned last that an order was rejected for its fence.
type walkWorld struct {
	now               time.Time
	replica           walkReplica
	previous          walkReplica // as of the last tick
	tracked           Replica
	messages          []walkMessage
	remaining         walkBudget
	foreignOrderTaken bool
	fencedAt          time.Time
	violation         string
	parent            *walkWorld
	label             string // of the move that led here
}

// path lists the moves that led to a state.
func (w *walkWorld) path() []string {
	if w.parent == nil {
		return nil
	}
	return append(w.parent.path(), w.label)
}

func newWalkWorld(budget walkBudget) *walkWorld {
	w := &walkWorld{now: testStart, remaining: budget, tracked: *New(walkTimings, 1, time.Time{}, nil)}
	w.replica.loaded = references(0b00011)
	w.previous = w.replica
	return w
}

func (w *walkWorld) clone() *walkWorld {
	copied := *w
	copied.messages = slices.Clone(w.messages)
	copied.tracked.uncertain = slices.Clone(w.tracked.uncertain)
	return &copied
}

// key names the state: two worlds of one key behave alike. Times count by their distance from now, those long past alike.
func (w *walkWorld) key() string {
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
		number(max(int64(at.Sub(w.now)/walkTick), -4))
	}
	change := func(change Change) {
		flag(change.Load)
		number(int64(slices.Index(walkReferences, change.Reference)))
	}
	for _, replica := range []walkReplica{w.replica, w.previous} {
		number(int64(replica.loaded), int64(replica.next), replica.sequence, int64(replica.highestFence))
		flag(replica.busy)
	}
	known := &w.tracked
	number(int64(known.phase), known.sequence, int64(known.fence), int64(maskFor(known.loaded)), known.rejected.sequence)
	number(int64(known.mismatches), int64(len(known.uncertain)), int64(len(w.messages)))
	moment(known.trustFrom)
	moment(known.pollAt)
	moment(known.polledAt)
	moment(known.blockedUntil)
	moment(known.rejected.until)
	moment(known.lowerSequenceSince)
	change(known.current.Change)
	for _, order := range known.uncertain {
		change(order.Change)
		number(order.ExpectedSequence)
		moment(order.expiresAt)
		moment(order.runningAt)
	}
	for _, message := range w.messages {
		change(message.order.Change)
		number(message.order.ExpectedSequence, int64(message.order.Fence), int64(message.outcome))
		flag(message.open, message.arrived)
		moment(message.endedAt)
	}
	number(int64(w.remaining.orders), int64(w.remaining.grants), int64(w.remaining.restarts), int64(w.remaining.strangers))
	flag(w.foreignOrderTaken)
	moment(w.fencedAt)
	return string(key)
}
