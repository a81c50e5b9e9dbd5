package routing

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// PromptPart is one part of a prompt, as identified by the client.
type PromptPart struct {
	ID     uint64
	Tokens float64
}

// Prompt is a prompt for one model, described by its parts.
type Prompt struct {
	Model        string // or model/adapter
	Parts        []PromptPart
	PrefixHashes []uint64 // HashPrefixes(Parts)
}

// maxPromptParts limits the number of parts of a prompt.
const maxPromptParts = 256

// ParsePromptPrefix parses a header of comma-separated parts "hexid:tokens". An empty value has no parts. It returns false if
// the value is invalid.
func ParsePromptPrefix(value string) ([]PromptPart, bool) {
	if value == "" {
		return nil, true
	}
	fields := strings.Split(value, ",")
	if len(fields) > maxPromptParts {
		return nil, false
	}
	parts := make([]PromptPart, 0, len(fields))
	for _, field := range fields {
		identity, tokens, found := strings.Cut(strings.TrimSpace(field), ":")
		number, err := strconv.ParseUint(identity, 16, 64)
		if !found || err != nil {
			return nil, false
		}
		amount, err := strconv.ParseUint(tokens, 10, 32)
		if err != nil {
			return nil, false
		}
		parts = append(parts, PromptPart{number, float64(amount)})
	}
	return parts, true
}

// ParseTokenCounts parses a header "prompt" or "prompt,output" of token counts. An empty value counts none. It
// returns false if the value is invalid.
func ParseTokenCounts(value string) (prompt, output float64, valid bool) {
	if value == "" {
		return 0, 0, true
	}
	first, second, _ := strings.Cut(value, ",")
	promptTokens, err := strconv.ParseUint(strings.TrimSpace(first), 10, 32)
	if err != nil {
		return 0, 0, false
	}
	outputTokens, err := strconv.ParseUint(strings.TrimSpace(second), 10, 32)
	if err != nil && second != "" {
		return 0, 0, false
	}
	return float64(promptTokens), float64(outputTokens), true
}

// HashPrefixes returns a hash of every prefix of a list of parts: the element at a position is a hash of the
// parts up to and including it. Two prompts share cached tokens exactly as far as they share a prefix.
func HashPrefixes(parts []PromptPart) []uint64 {
	hash := fnv.New64a()
	prefixHashes := make([]uint64, len(parts))
	var buffer [8]byte
	for position, part := range parts {
		for index := range buffer {
			buffer[index] = byte(part.ID >> (8 * index))
		}
		_, _ = hash.Write(buffer[:])
		prefixHashes[position] = hash.Sum64()
	}
	return prefixHashes
}
