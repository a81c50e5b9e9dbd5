package placement

import "maps"

// SizeHistory remembers sizes of loaded items that the configuration in force no longer gives: of models
// and adapters that were removed from it, and of those made smaller. For each server and reference it
// keeps the largest size of all configurations that were planned with while the item was or might be
// loaded at the server, and forgets it once it is not. Without it a load could exceed the replica's
// memory after a configuration change.
//
// A history belongs to one grant of the placement lease: a new lease holder starts with an empty one,
// because others may have loaded by configurations it never saw. It is passed from view to view and is
// not safe for concurrent use. A nil history remembers nothing.
type SizeHistory struct {
	last    *Catalog                          // of the last plan
	servers map[string]map[string]memoryUnits // by server id and reference
}

// NewSizeHistory returns an empty history.
func NewSizeHistory() *SizeHistory {
	return &SizeHistory{servers: map[string]map[string]memoryUnits{}}
}

// Clone returns a history that changes independently of the original.
func (h *SizeHistory) Clone() *SizeHistory {
	if h == nil {
		return nil
	}
	clone := &SizeHistory{last: h.last, servers: make(map[string]map[string]memoryUnits, len(h.servers))}
	for server, sizes := range h.servers {
		clone.servers[server] = maps.Clone(sizes)
	}
	return clone
}

// sizesAt returns the remembered sizes of a server, by reference.
func (h *SizeHistory) sizesAt(server string) map[string]memoryUnits {
	if h == nil {
		return nil
	}
	return h.servers[server]
}

// observe records what the servers have loaded under a catalog.
func (h *SizeHistory) observe(catalog *Catalog, servers []*Server) {
	if h == nil {
		return
	}
	h.forgetUnloaded(servers)
	if h.last.IsFor(catalog.table) {
		return
	}
	if h.last != nil {
		for _, server := range servers {
			h.remember(server, h.last.backend(server.Backend), catalog.backend(server.Backend))
		}
	}
	h.last = catalog
}

// forgetUnloaded drops the sizes of what is certainly not loaded any longer.
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

// remember records the sizes of the last catalog that the next one omits or makes smaller. A catalog is
// nil if the backend has no runtime in that configuration.
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
