package place

import "maps"

// SizeBook remembers sizes of what servers hold that the configuration in force no longer gives: of
// models and adapters that were dropped, and of those made smaller. For each server and reference it
// keeps the largest size of all configurations that were planned with while the server held or might
// hold it, and forgets it once the server does neither.
//
// A book belongs to one grant of the placement lease: who plans anew starts with an empty one, for
// others may have loaded by configurations that were not seen here. It goes from view to view and
// is not safe for concurrent use. A nil book remembers nothing.
type SizeBook struct {
	last    *Catalog                       // of the last plan
	servers map[string]map[string]roomSize // by server id and reference
}

// NewSizeBook makes an empty book.
func NewSizeBook() *SizeBook { return &SizeBook{servers: map[string]map[string]roomSize{}} }

// Copy makes a book that changes independently.
func (b *SizeBook) Copy() *SizeBook {
	if b == nil {
		return nil
	}
	copied := &SizeBook{last: b.last, servers: make(map[string]map[string]roomSize, len(b.servers))}
	for server, sizes := range b.servers {
		copied.servers[server] = maps.Clone(sizes)
	}
	return copied
}

// of is what is remembered of a server, by reference.
func (b *SizeBook) of(server string) map[string]roomSize {
	if b == nil {
		return nil
	}
	return b.servers[server]
}

// observe takes in what the servers hold under a catalog.
func (b *SizeBook) observe(catalog *Catalog, servers []*Server) {
	if b == nil {
		return
	}
	b.forgetUnheld(servers)
	if b.last.Of(catalog.table) {
		return
	}
	if b.last != nil {
		for _, server := range servers {
			b.remember(server, b.last.backend(server.Backend), catalog.backend(server.Backend))
		}
	}
	b.last = catalog
}

// forgetUnheld drops what no server holds or may hold any longer.
func (b *SizeBook) forgetUnheld(servers []*Server) {
	if len(b.servers) == 0 {
		return
	}
	kept := make(map[string]map[string]roomSize, len(b.servers))
	for _, server := range servers {
		sizes := b.servers[server.ID]
		maps.DeleteFunc(sizes, func(reference string, _ roomSize) bool {
			return !server.Models[reference] && !server.MayHold[reference]
		})
		if len(sizes) > 0 {
			kept[server.ID] = sizes
		}
	}
	b.servers = kept
}

// remember notes the sizes by the last catalog that the next one does not give or gives smaller. Either
// is nil where the backend has no models placed.
func (b *SizeBook) remember(server *Server, last, next *backendCatalog) {
	for _, held := range []map[string]bool{server.Models, server.MayHold} {
		for reference := range held {
			size := last.sizeOf(reference)
			if size <= next.sizeOf(reference) {
				continue
			}
			sizes := b.servers[server.ID]
			if sizes == nil {
				sizes = map[string]roomSize{}
				b.servers[server.ID] = sizes
			}
			sizes[reference] = max(sizes[reference], size)
		}
	}
}
