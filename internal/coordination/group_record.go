package coordination

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrCorruptValue is returned for a stored value that is inconsistent.
var ErrCorruptValue = errors.New("stored value is damaged")

// groupRecord is the stored state of a group: the compacted keys and the events since. It is rewritten with every batch of puts,
// so to keep it small the common prefix of the names is stored once, and lists are stored by column.
type groupRecord struct {
	// Prefix is the common prefix of the names of all keys.
	Prefix string `json:"g,omitempty"`
	// CompactedRevision is the revision of Compacted.
	CompactedRevision uint64       `json:"floor,omitempty"`
	Compacted         eventColumns `json:"keys"`
	Retained          eventColumns `json:"events"`
}

// eventColumns is a list of puts, stored by column.
type eventColumns struct {
	Names     []string `json:"k,omitempty"`
	Values    []string `json:"v,omitempty"`
	Revisions []uint64 `json:"r,omitempty"`
}

// isConsistent reports whether the columns of each list have the same length and the retained revisions increase.
func (r groupRecord) isConsistent() bool {
	for _, columns := range []eventColumns{r.Compacted, r.Retained} {
		if len(columns.Names) != len(columns.Values) || len(columns.Names) != len(columns.Revisions) {
			return false
		}
	}
	last := r.CompactedRevision
	for _, revision := range r.Retained.Revisions {
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

// record returns the state to store.
func (g *Group) record() groupRecord {
	record := groupRecord{CompactedRevision: g.compactedRevision}
	for name := range g.latest {
		record.Prefix = GroupOf(name)
		break
	}
	for _, name := range slices.Sorted(maps.Keys(g.compacted)) {
		key := g.compacted[name]
		record.Compacted.add(record.Prefix, Event{Name: name, Value: key.value, Revision: key.revision})
	}
	for _, event := range g.retained {
		record.Retained.add(record.Prefix, event)
	}
	return record
}
