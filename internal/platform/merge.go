package platform

import "time"

// carryWithin is how old a reading may be for what it showed to be carried into the next one.
const carryWithin = 10 * time.Second

// Merger makes lists whole that are read in pages while they change. Pages are cut by position, so an
// entry that leaves moves those after it: one may be skipped, or one that comes doubles another. The
// zero value has read nothing. It is used by one goroutine at a time.
type Merger struct {
	shown map[string]Replica
	at    time.Time
}

// Merge returns the entries of a reading, each id once, as the last page showed it. Of a reading in
// several pages, what the one before showed and this one doesn't is carried over; a replica counts as
// gone once two readings in a row don't show it.
func (m *Merger) Merge(entries []Replica, pages int, now time.Time) []Replica {
	shown := make(map[string]Replica, len(entries))
	for _, one := range entries {
		shown[one.ID] = one
	}
	merged := make([]Replica, 0, len(shown))
	for _, one := range shown {
		merged = append(merged, one)
	}
	if pages > 1 && now.Sub(m.at) < carryWithin {
		for id, one := range m.shown {
			if _, again := shown[id]; !again {
				merged = append(merged, one)
			}
		}
	}
	m.shown, m.at = shown, now
	return merged
}
