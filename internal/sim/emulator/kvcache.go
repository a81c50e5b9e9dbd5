package emulator

import (
	"container/list"

	"ferryspar/internal/routing"
)

// prefixKey identifies a part of a prompt by the model and the hash of the prompt up to and including it.
type prefixKey struct {
	model string
	hash  uint64
}

// cachedPrefix is a cached part of a prompt. It is not evicted while pins is above 0.
type cachedPrefix struct {
	key    prefixKey
	tokens float64
	pins   int
}

// kvCache is a replica's KV cache, in tokens. Space is either reserved for running requests or holds cached
// prompt parts, which are evicted in LRU order.
type kvCache struct {
	total    float64
	reserved float64
	cached   float64
	parts    map[prefixKey]*list.Element
	lru      *list.List
}

// newKVCache returns an empty cache of the given number of tokens.
func newKVCache(total float64) *kvCache {
	return &kvCache{total: total, parts: map[prefixKey]*list.Element{}, lru: list.New()}
}

// cachedParts returns the number of leading parts of the prompt that are cached.
func (m *kvCache) cachedParts(model string, prefixHashes []uint64) int {
	for position, hash := range prefixHashes {
		if m.parts[prefixKey{model, hash}] == nil {
			return position
		}
	}
	return len(prefixHashes)
}

// pin adds by to the pin count of the cached parts; a negative value unpins. The first part becomes the most
// recently used.
func (m *kvCache) pin(model string, prefixHashes []uint64, by int) {
	for position := len(prefixHashes) - 1; position >= 0; position-- {
		if found := m.parts[prefixKey{model, prefixHashes[position]}]; found != nil {
			found.Value.(*cachedPrefix).pins += by
			m.lru.MoveToBack(found)
		}
	}
}

// reserve reserves tokens for a request, evicting unpinned parts as needed, and reports whether there was
// enough space.
func (m *kvCache) reserve(tokens float64) bool {
	for element := m.lru.Front(); element != nil && m.reserved+m.cached+tokens > m.total; {
		next := element.Next()
		if element.Value.(*cachedPrefix).pins == 0 {
			m.evict(element)
		}
		element = next
	}
	if m.reserved+m.cached+tokens > m.total {
		return false
	}
	m.reserved += tokens
	return true
}

// release returns reserved tokens.
func (m *kvCache) release(tokens float64) { m.reserved -= tokens }

// add converts reserved tokens into cached parts from the given position on, each pinned once, and returns
// how many tokens were converted.
func (m *kvCache) add(model string, prefixHashes []uint64, parts []routing.PromptPart, from int) float64 {
	converted := 0.0
	for position := len(prefixHashes) - 1; position >= from; position-- {
		name := prefixKey{model, prefixHashes[position]}
		if m.parts[name] != nil {
			m.parts[name].Value.(*cachedPrefix).pins++
			continue
		}
		m.parts[name] = m.lru.PushBack(&cachedPrefix{key: name, tokens: parts[position].Tokens, pins: 1})
		m.cached += parts[position].Tokens
		m.reserved -= parts[position].Tokens
		converted += parts[position].Tokens
	}
	return converted
}

// evict removes one part.
func (m *kvCache) evict(element *list.Element) {
	prefix := element.Value.(*cachedPrefix)
	m.lru.Remove(element)
	delete(m.parts, prefix.key)
	m.cached -= prefix.tokens
}

// evictModels removes all parts of the models for which matches returns true.
func (m *kvCache) evictModels(matches func(model string) bool) {
	for element := m.lru.Front(); element != nil; {
		next := element.Next()
		if matches(element.Value.(*cachedPrefix).key.model) {
			m.evict(element)
		}
		element = next
	}
}
