package placement

import "maps"

// SizeHistory records sizes of loaded items that the configuration in force no longer gives: those of models and adapters
// that were removed or made smaller. For each server and reference it keeps the largest size in all configurations that
// were planned with while the item was or might be loaded at the server, and drops it once the item is certainly not loaded.
// Without it a load could exceed the replica's memory after a configuration change.
//
// A history belongs to one grant of the placement lease: a new lease holder starts with an empty one, because other holders
// may have loaded items under configurations that it never saw. It is carried over from view to view and is not safe for
// concurrent use. A nil history records nothing.
type SizeHistory struct {
	lastCatalog *Catalog                          // catalog of the last plan
	servers     map[string]map[string]memoryUnits // by server id and reference
}

// NewSizeHistory returns an empty history.
func NewSizeHistory() *SizeHistory {
	return &SizeHistory{servers: map[string]map[string]memoryUnits{}}
}

// Clone returns a deep copy of the history.
func (h *SizeHistory) Clone() *SizeHistory {
	if h == nil {
		return nil
	}
	clone := &SizeHistory{lastCatalog: h.lastCatalog, servers: make(map[string]map[string]memoryUnits, len(h.servers))}
	for server, sizes := range h.servers {
		clone.servers[server] = maps.Clone(sizes)
	}
	return clone
}

// sizesAt returns the recorded sizes at a server, by reference.
func (h *SizeHistory) sizesAt(server string) map[string]memoryUnits {
	if h == nil {
		return nil
	}
	return h.servers[server]
}

// observe updates the history for a plan that uses the given catalog.
func (h *SizeHistory) observe(catalog *Catalog, servers []*Server) {
	if h == nil {
		return
	}
	h.forgetUnloaded(servers)
	if h.lastCatalog.IsFor(catalog.table) {
		return
	}
	if h.lastCatalog != nil {
		for _, server := range servers {
			h.remember(server, h.lastCatalog.backend(server.Backend), catalog.backend(server.Backend))
		}
	}
	h.lastCatalog = catalog
}

// forgetUnloaded drops the sizes of items that are certainly no longer loaded.
func (h *SizeHistory) forgetUnloaded(servers []*Server) {
	if len(h.servers) == 0 {
		return
	}
	remaining := make(map[string]map[string]memoryUnits, len(h.servers))
	for _, server := range servers {
		sizes := h.servers[server.ID]
		maps.DeleteFunc(sizes, func(reference string, _ memoryUnits) bool {
			return !server.Loaded[reference] && !server.MaybeLoaded[reference]
		})
		if len(sizes) > 0 {
			remaining[server.ID] = sizes
		}
	}
	h.servers = remaining
}

// remember records the sizes of a server's items that the next catalog omits or makes smaller. A catalog is nil if the
// backend has no runtime in that configuration.
func (h *SizeHistory) remember(server *Server, last, next *backendCatalog) {
	for _, loaded := range []map[string]bool{server.Loaded, server.MaybeLoaded} {
		for reference := range loaded {
			size := last.sizeOf(reference)
			if size <= next.sizeOf(reference) {
				continue
			}
			sizes := h.servers[server.ID]
			if sizes == nil {
				sizes = map[string]memoryUnits{}
				h.servers[server.ID] = sizes
			}
			sizes[reference] = max(sizes[reference], size)
		}
	}
}
