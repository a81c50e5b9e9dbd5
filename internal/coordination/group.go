package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxGroupBytes bounds the names and values of a group with its events.
	maxGroupBytes = 256 << 10
	// eventOverhead is what an event or a key takes beside its name and its value.
	eventOverhead = 24
	// maxEventsReturned bounds one answer to a watch, which continues from the revision that it names.
	maxEventsReturned = 1000
)

// version is the value of a key at a revision.
type version struct {
	value    string
	revision uint64
}

// Group is a group of keys that share one rising count of revisions.
//
// Every put is kept as an event for as long as watches may ask for it and a caller that got no answer may send it again. The same
// value for the same key is the same put: it gets the revision that it got first, unless it names the present revision of the key,
// which no earlier put did. A new owner counts the age of all events from
// its own start, since it does not know when they were put.
type Group struct {
	history time.Duration
	// floor is the revision of the settled keys, and the first one from which a watch may go on.
	floor   uint64
	settled map[string]version
	// kept are the puts since, putAt when each was put, or this owner's start if that was later.
	kept  []Event
	putAt []time.Time
	// revision is that of the last put.
	revision uint64
	// latest holds the present value of each key.
	latest map[string]version
	// revisions holds those of the puts that are still recognised, by key and value.
	revisions map[putIdentity]uint64
	// bytes is the size of the settled keys and of the puts that are kept.
	bytes int
}

// putIdentity is what distinguishes a put from all others.
type putIdentity struct{ name, value string }

// GroupStatus describes a group to an operator.
type GroupStatus struct {
	Revision uint64 `json:"revision"`
	// CompactedRevision is the first revision from which a watch may go on.
	CompactedRevision uint64 `json:"floor"`
	Keys              int    `json:"keys"`
	Events            int    `json:"events"`
	Bytes             int    `json:"bytes"`
}

func openGroup(value json.RawMessage, now time.Time, config Config) (*Group, error) {
	var record groupRecord
	if err := decodeValue(value, &record); err != nil {
		return nil, err
	}
	if !record.isConsistent() {
		return nil, errors.Wrap(ErrCorruptValue, "group")
	}
	group := &Group{
		history:   config.EventRetention,
		floor:     record.Floor,
		revision:  record.Floor,
		settled:   map[string]version{},
		latest:    map[string]version{},
		revisions: map[putIdentity]uint64{},
	}
	for _, key := range record.Settled.events(record.Prefix) {
		group.settled[key.Name] = version{value: key.Value, revision: key.Revision}
		group.add(key)
	}
	group.kept = record.Kept.events(record.Prefix)
	for _, event := range group.kept {
		group.add(event)
		group.putAt = append(group.putAt, now)
		group.revision = event.Revision
	}
	return group, nil
}

// add makes a put the present value of its key.
func (g *Group) add(event Event) {
	g.latest[event.Name] = version{value: event.Value, revision: event.Revision}
	g.revisions[putIdentity{event.Name, event.Value}] = event.Revision
	g.bytes += putBytes(event.Name, event.Value)
}

func putBytes(name, value string) int { return len(name) + len(value) + eventOverhead }

// Apply implements Item.
func (g *Group) Apply(call Call, now time.Time) (Result, bool) {
	switch call.Operation {
	case OperationPut:
		return g.put(call, now)
	case OperationGet:
		return g.get(call), false
	case OperationEvents:
		return g.events(call), false
	case OperationInspect:
		return Result{Outcome: OutcomeDone, Group: g.status()}, false
	}
	return Result{Outcome: OutcomeDone, Revision: g.revision}, false
}

// Value implements Item.
func (g *Group) Value() json.RawMessage { return encodeValue(g.record()) }

// VolatileState implements Item. Events are kept for longer under another ownership.
func (*Group) VolatileState() VolatileState { return VolatileState{} }

func (g *Group) put(call Call, now time.Time) (Result, bool) {
	current := g.latest[call.Name].revision
	isExpected := call.ExpectedRevision != nil && *call.ExpectedRevision == current
	if first, isKnown := g.revisions[putIdentity{call.Name, call.Value}]; isKnown && !isExpected {
		return Result{Outcome: OutcomeDone, Revision: first}, false
	}
	if call.ExpectedRevision != nil && !isExpected {
		return Result{Outcome: OutcomeConflict, Revision: current}, false
	}
	g.settle(now)
	if g.bytes+putBytes(call.Name, call.Value) > maxGroupBytes {
		return Result{Outcome: OutcomeFull}, false
	}
	g.revision++
	event := Event{Name: call.Name, Value: call.Value, Revision: g.revision}
	g.kept = append(g.kept, event)
	g.putAt = append(g.putAt, now)
	g.add(event)
	return Result{Outcome: OutcomeDone, Revision: g.revision}, true
}

// settle drops the events that are older than the history, after it has applied them to the settled keys.
func (g *Group) settle(now time.Time) {
	expired := sort.Search(len(g.putAt), func(position int) bool { return now.Sub(g.putAt[position]) < g.history })
	for _, event := range g.kept[:expired] {
		g.settleEvent(event)
	}
	g.kept = g.kept[expired:]
	g.putAt = g.putAt[expired:]
}

// settleEvent makes an event the settled value of its key, in place of the one before it, which is no longer recognised.
func (g *Group) settleEvent(event Event) {
	if previous, isSettled := g.settled[event.Name]; isSettled {
		g.bytes -= putBytes(event.Name, previous.value)
		if identity := (putIdentity{event.Name, previous.value}); g.revisions[identity] == previous.revision {
			delete(g.revisions, identity)
		}
	}
	g.settled[event.Name] = version{value: event.Value, revision: event.Revision}
	g.floor = event.Revision
}

func (g *Group) get(call Call) Result {
	key, exists := g.latest[call.Name]
	if !exists {
		return Result{Outcome: OutcomeNotFound}
	}
	return Result{Outcome: OutcomeDone, Value: key.value, Revision: key.revision}
}

// events lists all puts after a revision. Revision is that of the last one listed, or of the group.
func (g *Group) events(call Call) Result {
	if call.AfterRevision < g.floor {
		return Result{Outcome: OutcomeCompacted, Revision: g.revision}
	}
	first := sort.Search(len(g.kept), func(position int) bool { return g.kept[position].Revision > call.AfterRevision })
	listed := g.kept[first:]
	if len(listed) > maxEventsReturned {
		listed = listed[:maxEventsReturned]
		return Result{Outcome: OutcomeDone, Events: slices.Clone(listed), Revision: listed[len(listed)-1].Revision}
	}
	result := Result{Outcome: OutcomeDone, Revision: max(g.revision, call.AfterRevision)}
	result.Events = append(result.Events, listed...)
	return result
}

func (g *Group) status() *GroupStatus {
	return &GroupStatus{
		Revision:          g.revision,
		CompactedRevision: g.floor,
		Keys:              len(g.latest),
		Events:            len(g.kept),
		Bytes:             g.bytes,
	}
}
