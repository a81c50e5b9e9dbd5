package placement

import "maps"

// SizeHistory remembers sizes of what servers hold that the configuration in force no longer gives: of
// models and adapters that were dropped, and of those made smaller. For each server and reference it
// keeps the largest size of all configurations that were planned with while the server held or might
// hold it, and forgets it once the server does neither.
//
// A book belongs to one grant of the placement lease: who plans anew starts with an empty one, for
// others may have loaded by configurations that were not seen here. It goes from view to view and
// is not safe for concurrent use. A nil book remembers nothing.
type SizeHistory struct {
	last    *Catalog                          // of the last plan
	servers map[string]map[string]memoryUnits // by server id and reference
}

// NewSizeHistory makes an empty book.
func NewSizeHistory() *SizeHistory { return &SizeHistory{servers: map[string]map[string]memoryUnits{}} }

// Copy makes a book that changes independently.
func (h *SizeHistory) Clone() *SizeHistory {
	if h == nil {
		return nil
	}
	copied := &SizeHistory{last: h.last, servers: make(map[string]map[string]memoryUnits, len(h.servers))}
	for server, sizes := range h.servers {
		copied.servers[server] = maps.Clone(sizes)
	}
	return copied
}

// of is what is remembered of a server, by reference.
func (h *SizeHistory) sizesAt(server string) map[string]memoryUnits {
	if h == nil {
		return nil
	}
	return h.servers[server]
}

// observe takes in what the servers hold under a catalog.
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

// forgetUnloaded drops what no server holds or may hold any longer.
func (h *SizeHistory) forgetUnloaded(servers []*Server) {
	if len(h.servers) == 0 {
		return
	}
	kept := make(map[string]map[string]memoryUnits, len(h.servers))
	for _, server := range servers {
		sizes := h.servers[server.ID]
		maps.DeleteFunc(sizes, func(reference string, _ memoryUnits) bool {
			return !server.Loaded[reference] && !server.MaybeLoaded[reference]
		})
		if len(sizes) > 0 {
			kept[server.ID] = sizes
		}
	}
	h.servers = kept
}

// remember notes the sizes by the last catalog that the next one does not give or gives smaller. Either
// is nil where the backend has no models placed.
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
