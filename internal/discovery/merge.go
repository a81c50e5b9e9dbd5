package discovery

import "time"

// maxCarryOverAge is how old a reading may be for its entries to be carried over into the next one.
const maxCarryOverAge = 10 * time.Second

// Merger completes lists that are read in pages while they change. Pages are cut by position, so an
// entry that leaves moves those after it: one may be skipped, or one that comes doubles another. The
// zero value has read nothing. It is used by one goroutine at a time.
type Merger struct {
	previous map[string]Replica
	readAt   time.Time
	// readings counts the readings, firstRead holds by id the one that showed a replica first.
	readings  int
	firstRead map[string]int
}

// Merge returns the entries of a reading, each id once, as the last page showed it. Of a reading in
// several pages, what the one before showed and this one doesn't is carried over; a replica counts as
// gone once two readings in a row don't show it, or another one is listed at its address.
func (m *Merger) Merge(entries []Replica, pages int, now time.Time) []Replica {
	current := make(map[string]Replica, len(entries))
	for _, replica := range entries {
		current[replica.ID] = replica
	}
	merged := make([]Replica, 0, len(current))
	for _, replica := range current {
		merged = append(merged, replica)
	}
	if pages > 1 && now.Sub(m.readAt) < maxCarryOverAge {
		for id, replica := range m.previous {
			if _, listed := current[id]; !listed {
				merged = append(merged, replica)
			}
		}
	}
	m.previous, m.readAt = current, now
	m.recordFirstRead(merged)
	return m.withoutSuperseded(merged)
}

// recordFirstRead notes which replicas this reading shows first, and forgets those that it doesn't show.
func (m *Merger) recordFirstRead(merged []Replica) {
	m.readings++
	firstRead := make(map[string]int, len(merged))
	for _, replica := range merged {
		reading, known := m.firstRead[replica.ID]
		if !known {
			reading = m.readings
		}
		firstRead[replica.ID] = reading
	}
	m.firstRead = firstRead
}

// withoutSuperseded leaves out replicas at whose address a later reading showed another one first. The platform lists a replica that
// has crashed for some seconds more; where its machine is back with a new one, requests sent to the old one come back unserved.
func (m *Merger) withoutSuperseded(merged []Replica) []Replica {
	newest := make(map[string]int, len(merged))
	for _, replica := range merged {
		newest[replica.Address] = max(newest[replica.Address], m.firstRead[replica.ID])
	}
	kept := merged[:0]
	for _, replica := range merged {
		if replica.Address == "" || m.firstRead[replica.ID] == newest[replica.Address] {
			kept = append(kept, replica)
		}
	}
	return kept
}
