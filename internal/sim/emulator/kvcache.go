package emulator

import (
	"container/list"

	"ferryspar/internal/routing"
)

// prefixKey names a part of a prompt: the model and the hash of the dialogue up to it.
type prefixKey struct {
	model string
	hash  uint64
}

// cachedPrefix is a cached part of a prompt; it is not evicted while pins is above 0.
type cachedPrefix struct {
	key    prefixKey
	tokens float64
	pins   int
}

// kvCache is a replica's KV memory, in tokens: reserved for running requests or holding cached
// parts, which are evicted by least recent use.
type kvCache struct {
	total    float64
	reserved float64
	cached   float64
	parts    map[prefixKey]*list.Element
	lru      *list.List
}

// newKVCache makes an empty cache of the given number of tokens.
func newKVCache(total float64) *kvCache {
	return &kvCache{total: total, parts: map[prefixKey]*list.Element{}, lru: list.New()}
}

// cachedParts counts the leading parts of the dialogue that are cached.
func (m *kvCache) cachedParts(model string, dialogues []uint64) int {
	for position, dialogue := range dialogues {
		if m.parts[prefixKey{model, dialogue}] == nil {
			return position
		}
	}
	return len(dialogues)
}

// pin adds to the pins of the parts, the first part most recently used; a negative amount unpins.
func (m *kvCache) pin(model string, dialogues []uint64, by int) {
	for position := len(dialogues) - 1; position >= 0; position-- {
		if found := m.parts[prefixKey{model, dialogues[position]}]; found != nil {
			found.Value.(*cachedPrefix).pins += by
			m.lru.MoveToBack(found)
		}
	}
}

// reserve sets tokens aside for a request, evicting unpinned parts as needed, and reports whether
// there was capacity.
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

// release gives reserved tokens back.
func (m *kvCache) release(tokens float64) { m.reserved -= tokens }

// add turns reserved tokens into cached parts from the given position on, pinned once, and returns
// how many tokens moved.
func (m *kvCache) add(model string, dialogues []uint64, parts []routing.PromptPart, from int) float64 {
	moved := 0.0
	for position := len(dialogues) - 1; position >= from; position-- {
		name := prefixKey{model, dialogues[position]}
		if m.parts[name] != nil {
			m.parts[name].Value.(*cachedPrefix).pins++
			continue
		}
		m.parts[name] = m.lru.PushBack(&cachedPrefix{key: name, tokens: parts[position].Tokens, pins: 1})
		m.cached += parts[position].Tokens
		m.reserved -= parts[position].Tokens
		moved += parts[position].Tokens
	}
	return moved
}

// evict drops one part.
func (m *kvCache) evict(element *list.Element) {
	prefix := element.Value.(*cachedPrefix)
	m.lru.Remove(element)
	delete(m.parts, prefix.key)
	m.cached -= prefix.tokens
}

// evictModels drops all parts of the models that match.
func (m *kvCache) evictModels(matches func(model string) bool) {
	for element := m.lru.Front(); element != nil; {
		next := element.Next()
		if matches(element.Value.(*cachedPrefix).key.model) {
			m.evict(element)
		}
		element = next
	}
}
