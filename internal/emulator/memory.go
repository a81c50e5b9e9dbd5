package emulator

import (
	"container/list"

	"ferryspar/internal/match"
)

type part struct {
	model    string
	dialogue uint64
}

type keptPart struct {
	part   part
	tokens float64
	pins   int
}

type memory struct {
	total    float64
	reserved float64
	kept     float64
	parts    map[part]*list.Element
	byAge    *list.List
}

func newMemory(total float64) *memory {
	return &memory{total: total, parts: map[part]*list.Element{}, byAge: list.New()}
}

func (m *memory) held(model string, dialogues []uint64) int {
	for position, dialogue := range dialogues {
		if m.parts[part{model, dialogue}] == nil {
			return position
		}
	}
	return len(dialogues)
}

func (m *memory) pin(model string, dialogues []uint64, by int) {
	for position := len(dialogues) - 1; position >= 0; position-- {
		if found := m.parts[part{model, dialogues[position]}]; found != nil {
			found.Value.(*keptPart).pins += by
			m.byAge.MoveToBack(found)
		}
	}
}

func (m *memory) reserve(tokens float64) bool {
	for element := m.byAge.Front(); element != nil && m.reserved+m.kept+tokens > m.total; {
		next := element.Next()
		if element.Value.(*keptPart).pins == 0 {
			m.drop(element)
		}
		element = next
	}
	if m.reserved+m.kept+tokens > m.total {
		return false
	}
	m.reserved += tokens
	return true
}

func (m *memory) free(tokens float64) { m.reserved -= tokens }

func (m *memory) keep(model string, dialogues []uint64, parts []match.Part, from int) float64 {
	moved := 0.0
	for position := len(dialogues) - 1; position >= from; position-- {
		name := part{model, dialogues[position]}
		if m.parts[name] != nil {
			m.parts[name].Value.(*keptPart).pins++
			continue
		}
		m.parts[name] = m.byAge.PushBack(&keptPart{part: name, tokens: parts[position].Tokens, pins: 1})
		m.kept += parts[position].Tokens
		m.reserved -= parts[position].Tokens
		moved += parts[position].Tokens
	}
	return moved
}

func (m *memory) drop(element *list.Element) {
	one := element.Value.(*keptPart)
	m.byAge.Remove(element)
	delete(m.parts, one.part)
	m.kept -= one.tokens
}

func (m *memory) dropModel(matches func(model string) bool) {
	for element := m.byAge.Front(); element != nil; {
		next := element.Next()
		if matches(element.Value.(*keptPart).part.model) {
			m.drop(element)
		}
		element = next
	}
}
