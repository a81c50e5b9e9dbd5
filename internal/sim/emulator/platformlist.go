package emulator

import (
	"cmp"
	"slices"

	"ferryspar/internal/discovery"
)

// listLater puts the server's current entry into the platform's list after the list's lag.
func (w *World) listLater(s *server) {
	entry := s.entry()
	w.events.After(milliseconds(w.scenario.Platform.LagMs), func() {
		if w.servers[entry.ID] != nil && !w.servers[entry.ID].unlisted {
			w.listed[entry.ID] = entry
		}
	})
}

// unlistLater removes a dead server from the platform's list after the detection time.
func (w *World) unlistLater(s *server) {
	w.events.After(seconds(w.scenario.Platform.ReplicaDetectionS), func() {
		s.unlisted = true
		delete(w.listed, s.id)
	})
}

// listedReplicas returns the platform's list, ordered by ID.
func (w *World) listedReplicas() []discovery.Replica {
	entries := make([]discovery.Replica, 0, len(w.listed))
	for _, entry := range w.listed {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(entry, other discovery.Replica) int { return cmp.Compare(entry.ID, other.ID) })
	return entries
}
