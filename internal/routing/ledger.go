package routing

import (
	"time"

	"github.com/google/btree"
)

// ledgerKey identifies one prompt prefix in one replica's cache for one model.
type ledgerKey struct {
	replica string
	model   string
	prefix  uint64 // see HashPrefixes
}

// ledgerEntry describes the last part of a prefix.
type ledgerEntry struct {
	key      ledgerKey
	usedAt   time.Time
	sequence uint64 // increases with each use; the lowest entry is the least recently used
	lastPart uint64 // id of the part
	tokens   float64
}

func (e *ledgerEntry) less(other *ledgerEntry) bool { return e.sequence < other.sequence }

// ledgerTreeDegree is the degree of the B-tree of entries by age.
const ledgerTreeDegree = 16

// PrefixLedger records which prompt prefixes the caches of which replicas should contain (IEMAS §4.1
// "Prefix-Locality", for the affinity of eq. 4). Instead of the last prompt of a dialogue it records every
// prefix of the prompts that were sent, so that prompts of different dialogues share entries. The number of
// entries is limited, with eviction of the least recently used, and entries expire after a time to live. The
// ledger also keeps the sample of recent requests, since the same retention rules apply to it. It is not safe
// for concurrent use: outside the matcher's goroutine, change it through Matcher.UpdateLedger.
type PrefixLedger struct {
	limit       int
	ttl         time.Duration
	sequence    uint64
	entries     map[ledgerKey]*ledgerEntry
	forgetRules forgetRules
	byAge       *btree.BTreeG[*ledgerEntry]
	samples     requestSamples
}

// NewPrefixLedger returns an empty ledger of at most limit entries, which expire ttl after their last use;
// a ttl of 0 means never.
func NewPrefixLedger(limit int, ttl time.Duration) *PrefixLedger {
	return &PrefixLedger{
		limit:   limit,
		ttl:     ttl,
		entries: map[ledgerKey]*ledgerEntry{},
		byAge:   btree.NewG(ledgerTreeDegree, (*ledgerEntry).less),
	}
}

// CachedTokens returns the number of tokens in the longest prefix of the prompt that the replica should have
// cached.
func (l *PrefixLedger) CachedTokens(replica string, prompt Prompt, now time.Time) float64 {
	cachedTokens := 0.0
	for position, prefixHash := range prompt.PrefixHashes {
		entry, known := l.entries[ledgerKey{replica, prompt.Model, prefixHash}]
		if !known || l.ttl > 0 && now.Sub(entry.usedAt) > l.ttl {
			return cachedTokens
		}
		cachedTokens += prompt.Parts[position].Tokens
	}
	return cachedTokens
}

// RecordPrompt records that the prompt of a request, which arrived at the given time, was sent to a replica
// (IEMAS algorithm 1 line 30).
func (l *PrefixLedger) RecordPrompt(replica string, prompt Prompt, arrived, now time.Time) {
	if l.forgetRules.covers(prompt.Model, prompt.Parts, arrived) {
		return
	}
	for position, prefixHash := range prompt.PrefixHashes {
		l.touch(ledgerKey{replica, prompt.Model, prefixHash}, prompt.Parts[position], now)
	}
	for len(l.entries) > l.limit {
		l.dropEntry(l.oldest())
	}
	l.Expire(now)
}

// touch makes an entry the most recently used one, and adds it if it is missing.
func (l *PrefixLedger) touch(key ledgerKey, part PromptPart, now time.Time) {
	l.sequence++
	entry, known := l.entries[key]
	if known {
		l.byAge.Delete(entry)
	} else {
		entry = &ledgerEntry{key: key}
		l.entries[key] = entry
	}
	entry.usedAt = now
	entry.sequence = l.sequence
	entry.lastPart = part.ID
	entry.tokens = part.Tokens
	l.byAge.ReplaceOrInsert(entry)
}

// Expire drops expired entries and samples, and returns the number of dropped entries.
func (l *PrefixLedger) Expire(now time.Time) int {
	dropped := 0
	for l.ttl > 0 && len(l.entries) > 0 && now.Sub(l.oldest().usedAt) > l.ttl {
		l.dropEntry(l.oldest())
		dropped++
	}
	if l.ttl > 0 {
		l.samples.expire(l.ttl, now)
	}
	return dropped
}

// SetTTL changes the time to live of all entries, including the existing ones.
func (l *PrefixLedger) SetTTL(ttl time.Duration, now time.Time) {
	l.ttl = ttl
	l.Expire(now)
}

// addSample keeps a request for forecasts unless a forget rule covers it.
func (l *PrefixLedger) addSample(request *Request) {
	if !l.forgetRules.covers(request.Model, request.Parts, request.ArrivedAt) {
		l.samples.add(request)
	}
}

// oldest returns the least recently used entry. The ledger must not be empty.
func (l *PrefixLedger) oldest() *ledgerEntry {
	entry, _ := l.byAge.Min()
	return entry
}

func (l *PrefixLedger) dropEntry(entry *ledgerEntry) {
	l.byAge.Delete(entry)
	delete(l.entries, entry.key)
}

// RecordMiss drops all entries for a prompt at a replica, after the prompt was found not to be cached there.
func (l *PrefixLedger) RecordMiss(replica string, prompt Prompt) {
	for _, prefixHash := range prompt.PrefixHashes {
		if entry, known := l.entries[ledgerKey{replica, prompt.Model, prefixHash}]; known {
			l.dropEntry(entry)
		}
	}
}

// Forget drops all entries that end with a matching part, and prevents requests that arrived before the given
// time from adding such entries again. It returns the number of dropped entries.
func (l *PrefixLedger) Forget(matches func(model string, part uint64) bool, at time.Time) int {
	l.forgetRules.add(forgetRule{at, matches})
	l.samples.forget(matches)
	return l.dropAll(func(entry *ledgerEntry) bool { return matches(entry.key.model, entry.lastPart) })
}

// DropReplicas drops all entries of the replicas and returns the number of dropped entries.
func (l *PrefixLedger) DropReplicas(replicas map[string]bool) int {
	return l.dropAll(func(entry *ledgerEntry) bool { return replicas[entry.key.replica] })
}

// dropAll drops the matching entries and returns the number of dropped entries.
func (l *PrefixLedger) dropAll(matches func(entry *ledgerEntry) bool) int {
	before := len(l.entries)
	for _, entry := range l.entries {
		if matches(entry) {
			l.dropEntry(entry)
		}
	}
	return before - len(l.entries)
}

// Len returns the number of entries.
func (l *PrefixLedger) Len() int { return len(l.entries) }
