package coordination

import (
	"encoding/json"
	"sort"
	"time"
)

const (
	// maxGroupBytes bounds the names and values of a group with its events.
	maxGroupBytes = 256 << 10
	// eventOverhead is what an event or a key takes beside its name and its value.
	eventOverhead = 24
	// maxEventsReturned bounds one answer to a watch, which continues from the revision that it names.
	maxEventsReturned = 1000
)

// settledKey is a key whose last put is older than the events that are kept.
type settledKey struct {
	Value    string `json:"v"`
	Revision uint64 `json:"r"`
}

// storedEvent is an event that is kept.
type storedEvent struct {
	Name     string `json:"k"`
	Value    string `json:"v"`
	Revision uint64 `json:"r"`
}

// groupRecord is what is stored of a group: the keys as they were at a revision, and the puts since.
type groupRecord struct {
	// Floor is the revision of Keys, and the first one from which a watch may go on.
	Floor  uint64                `json:"floor,omitempty"`
	Keys   map[string]settledKey `json:"keys,omitempty"`
	Events []storedEvent         `json:"events,omitempty"`
}

// Group is a group of keys that share one rising count of revisions.
//
// Every put is kept as an event for as long as watches may ask for it and a caller that got no answer may send it again. The same
// value for the same key is the same put: it gets the revision that it got first, unless it names the present revision of the key,
// which no earlier put did. A new owner counts the age of all events from
// its own start, since it does not know when they were put.
type Group struct {
	record  groupRecord
	history time.Duration
	// revision is that of the last put.
	revision uint64
	// latest holds the present value of each key.
	latest map[string]settledKey
	// revisions holds those of the puts that are still recognised, by key and value.
	revisions map[putIdentity]uint64
	// putAt is when each of the record's events was put, or this owner's start if that was later.
	putAt []time.Time
	bytes int
}

// putIdentity is what distinguishes a put from all others.
type putIdentity struct{ name, value string }

// GroupStatus describes a group to an operator.
type GroupStatus struct {
	Revision uint64 `json:"revision"`
	// Floor is the first revision from which a watch may go on.
	Floor  uint64 `json:"floor"`
	Keys   int    `json:"keys"`
	Events int    `json:"events"`
	Bytes  int    `json:"bytes"`
}

func openGroup(value json.RawMessage, now time.Time, config Config) (*Group, error) {
	group := &Group{
		history:   config.History,
		latest:    map[string]settledKey{},
		revisions: map[putIdentity]uint64{},
	}
	if err := decodeValue(value, &group.record); err != nil {
		return nil, err
	}
	if group.record.Keys == nil {
		group.record.Keys = map[string]settledKey{}
	}
	group.revision = group.record.Floor
	for name, key := range group.record.Keys {
		group.index(name, key)
		group.bytes += putBytes(name, key.Value)
	}
	for _, event := range group.record.Events {
		group.index(event.Name, settledKey{Value: event.Value, Revision: event.Revision})
		group.bytes += putBytes(event.Name, event.Value)
		group.putAt = append(group.putAt, now)
		group.revision = event.Revision
	}
	return group, nil
}

func putBytes(name, value string) int { return len(name) + len(value) + eventOverhead }

func (g *Group) index(name string, key settledKey) {
	g.latest[name] = key
	g.revisions[putIdentity{name, key.Value}] = key.Revision
}

// Step implements Item.
func (g *Group) Step(call Call, now time.Time) (Result, bool) {
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
func (g *Group) Value() json.RawMessage { return encodeValue(g.record) }

// Memory implements Item. Events are kept for longer under another ownership.
func (*Group) Memory() Memory { return Memory{} }

func (g *Group) put(call Call, now time.Time) (Result, bool) {
	current := g.latest[call.Name].Revision
	isExpected := call.Expected != nil && *call.Expected == current
	if first, isKnown := g.revisions[putIdentity{call.Name, call.Value}]; isKnown && !isExpected {
		return Result{Outcome: OutcomeDone, Revision: first}, false
	}
	if call.Expected != nil && !isExpected {
		return Result{Outcome: OutcomeConflict, Revision: current}, false
	}
	g.settle(now)
	size := putBytes(call.Name, call.Value)
	if g.bytes+size > maxGroupBytes {
		return Result{Outcome: OutcomeFull}, false
	}
	g.revision++
	g.bytes += size
	g.record.Events = append(g.record.Events, storedEvent{Name: call.Name, Value: call.Value, Revision: g.revision})
	g.putAt = append(g.putAt, now)
	g.index(call.Name, settledKey{Value: call.Value, Revision: g.revision})
	return Result{Outcome: OutcomeDone, Revision: g.revision}, true
}

// settle drops the events that are older than the history, after it has applied them to the keys.
func (g *Group) settle(now time.Time) {
	expired := sort.Search(len(g.putAt), func(position int) bool { return now.Sub(g.putAt[position]) < g.history })
	for _, event := range g.record.Events[:expired] {
		g.settleEvent(event)
	}
	g.record.Events = g.record.Events[expired:]
	g.putAt = g.putAt[expired:]
}

// settleEvent makes an event the settled value of its key, in place of the one before it, which is no longer recognised.
func (g *Group) settleEvent(event storedEvent) {
	if previous, isSettled := g.record.Keys[event.Name]; isSettled {
		g.bytes -= putBytes(event.Name, previous.Value)
		if identity := (putIdentity{event.Name, previous.Value}); g.revisions[identity] == previous.Revision {
			delete(g.revisions, identity)
		}
	}
	g.record.Keys[event.Name] = settledKey{Value: event.Value, Revision: event.Revision}
	g.record.Floor = event.Revision
}

func (g *Group) get(call Call) Result {
	key, exists := g.latest[call.Name]
	if !exists {
		return Result{Outcome: OutcomeMissing}
	}
	return Result{Outcome: OutcomeDone, Value: key.Value, Revision: key.Revision}
}

// events lists all puts after a revision. Revision is that of the last one listed, or of the group.
func (g *Group) events(call Call) Result {
	if call.After < g.record.Floor {
		return Result{Outcome: OutcomeExpired, Revision: g.revision}
	}
	kept := g.record.Events
	first := sort.Search(len(kept), func(position int) bool { return kept[position].Revision > call.After })
	result := Result{Outcome: OutcomeDone, Revision: g.revision}
	for _, event := range kept[first:] {
		if len(result.Events) == maxEventsReturned {
			break
		}
		result.Events = append(result.Events, Event(event))
		result.Revision = event.Revision
	}
	if len(result.Events) < maxEventsReturned {
		result.Revision = max(g.revision, call.After)
	}
	return result
}

func (g *Group) status() *GroupStatus {
	return &GroupStatus{
		Revision: g.revision,
		Floor:    g.record.Floor,
		Keys:     len(g.latest),
		Events:   len(g.record.Events),
		Bytes:    g.bytes,
	}
}
