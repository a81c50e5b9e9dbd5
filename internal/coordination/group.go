package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxGroupBytes bounds the total size of the names and values of a group, including its retained events.
	maxGroupBytes = 256 << 10
	// eventOverhead is the size that is charged for an event or a key in addition to its name and value.
	eventOverhead = 24
	// maxEventsReturned bounds the events in one result; a watch continues from the revision in the result.
	maxEventsReturned = 1000
)

// version is the value of a key at a revision.
type version struct {
	value    string
	revision uint64
}

// Group is a group of keys that share one revision counter, which each put increments.
//
// Puts are retained as events for the retention time, so that watches can read them and a put whose answer was lost can be
// repeated. A put of the same value to the same key is taken for a repetition and gets the revision of the first one, unless it
// expects the current revision of the key, which no earlier put can have expected. A new owner does not know when events were put
// and counts the retention time of all of them from its own start.
type Group struct {
	eventRetention time.Duration
	// compactedRevision is the revision up to which events have been compacted, and the lowest one from which a watch can
	// continue.
	compactedRevision uint64
	// compacted holds the key versions at compactedRevision.
	compacted map[string]version
	// retained holds the events after compactedRevision. putTimes holds when each was put, or when this owner started if that was
	// later.
	retained []Event
	putTimes []time.Time
	// revision is the revision of the last put.
	revision uint64
	// latest holds the current version of each key.
	latest map[string]version
	// revisionByPut holds the revisions of the puts that can still be recognized when repeated.
	revisionByPut map[putIdentity]uint64
	// bytes is the size of compacted and retained.
	bytes int
}

// putIdentity identifies a put, so that a repetition can be recognized.
type putIdentity struct{ name, value string }

// GroupStatus describes a group to an operator.
type GroupStatus struct {
	Revision uint64 `json:"revision"`
	// CompactedRevision is the lowest revision from which a watch can continue.
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
		eventRetention:    config.EventRetention,
		compactedRevision: record.CompactedRevision,
		revision:          record.CompactedRevision,
		compacted:         map[string]version{},
		latest:            map[string]version{},
		revisionByPut:     map[putIdentity]uint64{},
	}
	for _, key := range record.Compacted.events(record.Prefix) {
		group.compacted[key.Name] = version{value: key.Value, revision: key.Revision}
		group.add(key)
	}
	group.retained = record.Retained.events(record.Prefix)
	for _, event := range group.retained {
		group.add(event)
		group.putTimes = append(group.putTimes, now)
		group.revision = event.Revision
	}
	return group, nil
}

// add records a put as the current version of its key.
func (g *Group) add(event Event) {
	g.latest[event.Name] = version{value: event.Value, revision: event.Revision}
	g.revisionByPut[putIdentity{event.Name, event.Value}] = event.Revision
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

// VolatileState implements Item. It is empty: a new owner only retains events for longer.
func (*Group) VolatileState() VolatileState { return VolatileState{} }

func (g *Group) put(call Call, now time.Time) (Result, bool) {
	current := g.latest[call.Name].revision
	isExpected := call.ExpectedRevision != nil && *call.ExpectedRevision == current
	if first, isKnown := g.revisionByPut[putIdentity{call.Name, call.Value}]; isKnown && !isExpected {
		return Result{Outcome: OutcomeDone, Revision: first}, false
	}
	if call.ExpectedRevision != nil && !isExpected {
		return Result{Outcome: OutcomeConflict, Revision: current}, false
	}
	g.compact(now)
	if g.bytes+putBytes(call.Name, call.Value) > maxGroupBytes {
		return Result{Outcome: OutcomeFull}, false
	}
	g.revision++
	event := Event{Name: call.Name, Value: call.Value, Revision: g.revision}
	g.retained = append(g.retained, event)
	g.putTimes = append(g.putTimes, now)
	g.add(event)
	return Result{Outcome: OutcomeDone, Revision: g.revision}, true
}

// compact compacts the events that are older than the retention time.
func (g *Group) compact(now time.Time) {
	expired := sort.Search(len(g.putTimes), func(position int) bool { return now.Sub(g.putTimes[position]) < g.eventRetention })
	for _, event := range g.retained[:expired] {
		g.compactEvent(event)
	}
	g.retained = g.retained[expired:]
	g.putTimes = g.putTimes[expired:]
}

// compactEvent makes an event the compacted version of its key. A repetition of the put that it replaces is no longer recognized.
func (g *Group) compactEvent(event Event) {
	if previous, isCompacted := g.compacted[event.Name]; isCompacted {
		g.bytes -= putBytes(event.Name, previous.value)
		if identity := (putIdentity{event.Name, previous.value}); g.revisionByPut[identity] == previous.revision {
			delete(g.revisionByPut, identity)
		}
	}
	g.compacted[event.Name] = version{value: event.Value, revision: event.Revision}
	g.compactedRevision = event.Revision
}

func (g *Group) get(call Call) Result {
	key, exists := g.latest[call.Name]
	if !exists {
		return Result{Outcome: OutcomeNotFound}
	}
	return Result{Outcome: OutcomeDone, Value: key.value, Revision: key.revision}
}

// events lists the puts after a revision, up to maxEventsReturned. The result's Revision is the one to continue from: that of the
// last listed event if there are more, else that of the group.
func (g *Group) events(call Call) Result {
	if call.AfterRevision < g.compactedRevision {
		return Result{Outcome: OutcomeCompacted, Revision: g.revision}
	}
	first := sort.Search(len(g.retained), func(position int) bool { return g.retained[position].Revision > call.AfterRevision })
	listed := g.retained[first:]
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
		CompactedRevision: g.compactedRevision,
		Keys:              len(g.latest),
		Events:            len(g.retained),
		Bytes:             g.bytes,
	}
}
