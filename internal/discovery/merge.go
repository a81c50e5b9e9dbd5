package discovery

import "time"

// maxCarryOverAge is the maximum age of a listing whose entries are carried over into the next one.
const maxCarryOverAge = 10 * time.Second

// Merger corrects listings that are read in pages while the list changes. Pages are delimited by position, so a removed entry
// shifts those after it and can hide one, and an added entry can make another appear twice. The zero value is ready to use. It
// is not safe for concurrent use.
type Merger struct {
	previous map[string]Replica
	listedAt time.Time
	// listings is the number of listings merged; firstListing holds the number of the first listing with a replica, by id.
	listings     int
	firstListing map[string]int
}

// Merge returns the entries of a listing without duplicate ids; the last entry of an id wins. If the listing has several pages,
// it also returns the entries that only the previous listing had. A replica counts as removed when it is missing from two
// consecutive listings, or when another replica is listed at its address.
func (m *Merger) Merge(entries []Replica, pages int, now time.Time) []Replica {
	current := make(map[string]Replica, len(entries))
	for _, replica := range entries {
		current[replica.ID] = replica
	}
	merged := make([]Replica, 0, len(current))
	for _, replica := range current {
		merged = append(merged, replica)
	}
	if pages > 1 && now.Sub(m.listedAt) < maxCarryOverAge {
		for id, replica := range m.previous {
			if _, listed := current[id]; !listed {
				merged = append(merged, replica)
			}
		}
	}
	m.previous, m.listedAt = current, now
	m.recordFirstListing(merged)
	return m.withoutSuperseded(merged)
}

// recordFirstListing records the replicas that this listing is the first to contain, and discards those it does not contain.
func (m *Merger) recordFirstListing(merged []Replica) {
	m.listings++
	firstListing := make(map[string]int, len(merged))
	for _, replica := range merged {
		listing, known := m.firstListing[replica.ID]
		if !known {
			listing = m.listings
		}
		firstListing[replica.ID] = listing
	}
	m.firstListing = firstListing
}

// withoutSuperseded removes replicas at whose address a newer replica is listed. The platform still lists a crashed replica for
// some seconds; if its machine has already started a new one, that one rejects requests addressed to the old one.
func (m *Merger) withoutSuperseded(merged []Replica) []Replica {
	newest := make(map[string]int, len(merged))
	for _, replica := range merged {
		newest[replica.Address] = max(newest[replica.Address], m.firstListing[replica.ID])
	}
	kept := merged[:0]
	for _, replica := range merged {
		if replica.Address == "" || m.firstListing[replica.ID] == newest[replica.Address] {
			kept = append(kept, replica)
		}
	}
	return kept
}
