package coordination

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrCorruptValue is returned for a stored value that this package did not write.
var ErrCorruptValue = errors.New("stored value is damaged")

// groupRecord is what is stored of a group: the keys as they were at a revision, and the puts since. It is written at each batch of
// puts, so names are stored without what all of them begin with, and lists by column.
type groupRecord struct {
	// Prefix begins the names of all keys.
	Prefix string `json:"g,omitempty"`
	// Floor is the revision of Settled.
	Floor   uint64       `json:"floor,omitempty"`
	Settled eventColumns `json:"keys"`
	Kept    eventColumns `json:"events"`
}

// eventColumns are puts as one list for each of their properties.
type eventColumns struct {
	Names     []string `json:"k,omitempty"`
	Values    []string `json:"v,omitempty"`
	Revisions []uint64 `json:"r,omitempty"`
}

// isConsistent says that all columns are of one length and kept revisions rise.
func (r groupRecord) isConsistent() bool {
	for _, columns := range []eventColumns{r.Settled, r.Kept} {
		if len(columns.Names) != len(columns.Values) || len(columns.Names) != len(columns.Revisions) {
			return false
		}
	}
	last := r.Floor
	for _, revision := range r.Kept.Revisions {
		if revision <= last {
			return false
		}
		last = revision
	}
	return true
}

func (c *eventColumns) add(prefix string, event Event) {
	c.Names = append(c.Names, strings.TrimPrefix(event.Name, prefix))
	c.Values = append(c.Values, event.Value)
	c.Revisions = append(c.Revisions, event.Revision)
}

func (c *eventColumns) events(prefix string) []Event {
	events := make([]Event, len(c.Names))
	for position := range c.Names {
		events[position] = Event{Name: prefix + c.Names[position], Value: c.Values[position], Revision: c.Revisions[position]}
	}
	return events
}

// record is what is stored of the group.
func (g *Group) record() groupRecord {
	record := groupRecord{Floor: g.floor}
	for name := range g.latest {
		record.Prefix = GroupOf(name)
		break
	}
	for _, name := range slices.Sorted(maps.Keys(g.settled)) {
		key := g.settled[name]
		record.Settled.add(record.Prefix, Event{Name: name, Value: key.value, Revision: key.revision})
	}
	for _, event := range g.kept {
		record.Kept.add(record.Prefix, event)
	}
	return record
}
