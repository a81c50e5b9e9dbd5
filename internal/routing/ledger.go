package routing

import (
	"time"

	"github.com/google/btree"
)

// ledgerKey names one prefix in one replica's cache for one model.
type ledgerKey struct {
	replica string
	model   string
	prefix  uint64 // see HashPrefixes
}

// ledgerEntry is the last part of such a prefix.
type ledgerEntry struct {
	key      ledgerKey
	usedAt   time.Time
	sequence uint64 // rises with each use; the lowest entry is the longest unused
	lastPart uint64 // id
	tokens   float64
}

func (e *ledgerEntry) less(other *ledgerEntry) bool { return e.sequence < other.sequence }

// forgetRule keeps requests that arrived before a forget from writing matching entries again.
type forgetRule struct {
	arrivedBefore time.Time
	matches       func(model string, part uint64) bool
}

const (
	// maxForgetRules is how many of the last forgets are kept as rules.
	maxForgetRules = 64
	// ledgerTreeDegree is the branching of the tree of entries by age.
	ledgerTreeDegree = 16
)

// PrefixLedger records which prompt prefixes the caches of which replicas should hold (the affinity of
// eq. 4). It is bounded in entries, the longest unused ones go first, and in their life. It also
// keeps the sample of recent requests, since that must be forgotten by the same rules. It is not
// safe for concurrent use: outside the matcher's goroutine, change it through Matcher.UpdateLedger.
type PrefixLedger struct {
	limit    int
	ttl      time.Duration
	sequence uint64
	entries  map[ledgerKey]*ledgerEntry
	forgets  []forgetRule
	byAge    *btree.BTreeG[*ledgerEntry]
	samples  requestSamples
}

// NewPrefixLedger returns an empty ledger for that many entries, each of that life without use; a life of
// 0 is without bound.
func NewPrefixLedger(limit int, ttl time.Duration) *PrefixLedger {
	return &PrefixLedger{
		limit:   limit,
		ttl:     ttl,
		entries: map[ledgerKey]*ledgerEntry{},
		byAge:   btree.NewG(ledgerTreeDegree, (*ledgerEntry).less),
	}
}

// Kept is the count of tokens in the longest prefix of the prompt that the replica should hold.
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

// Note records that the replica was sent the prompt of a request that arrived at begun.
func (l *PrefixLedger) RecordPrompt(replica string, prompt Prompt, arrived, now time.Time) {
	if l.forgetApplies(prompt.Model, prompt.Parts, arrived) {
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

// use makes an entry the newest one, and adds it where it is not there.
func (l *PrefixLedger) touch(key ledgerKey, part Part, now time.Time) {
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

// Expire drops what is past its life and returns how many entries that were.
func (l *PrefixLedger) Expire(now time.Time) int {
	gone := 0
	for l.ttl > 0 && len(l.entries) > 0 && now.Sub(l.oldest().usedAt) > l.ttl {
		l.dropEntry(l.oldest())
		gone++
	}
	if l.ttl > 0 {
		l.samples.expire(l.ttl, now)
	}
	return gone
}

// SetTTL changes the life of all entries, also of those that are there.
func (l *PrefixLedger) SetTTL(ttl time.Duration, now time.Time) {
	l.ttl = ttl
	l.Expire(now)
}

// forgetApplies reports whether a prompt that arrived at begun was forgotten since.
func (l *PrefixLedger) forgetApplies(model string, parts []Part, arrived time.Time) bool {
	for _, rule := range l.forgets {
		if !arrived.Before(rule.arrivedBefore) {
			continue
		}
		for _, part := range parts {
			if rule.matches(model, part.ID) {
				return true
			}
		}
	}
	return false
}

// sample keeps a request for forecasts unless it was forgotten.
func (l *PrefixLedger) addSample(request *Request) {
	if !l.forgetApplies(request.Model, request.Parts, request.Arrived) {
		l.samples.add(request)
	}
}

func (l *PrefixLedger) oldest() *ledgerEntry {
	entry, _ := l.byAge.Min()
	return entry
}

func (l *PrefixLedger) dropEntry(entry *ledgerEntry) {
	l.byAge.Delete(entry)
	delete(l.entries, entry.key)
}

// Miss drops what the ledger claims of a prompt at a replica.
func (l *PrefixLedger) RecordMiss(replica string, prompt Prompt) {
	for _, prefixHash := range prompt.PrefixHashes {
		if entry, known := l.entries[ledgerKey{replica, prompt.Model, prefixHash}]; known {
			l.dropEntry(entry)
		}
	}
}

// Forget drops all entries that end with a matching part, and keeps requests that arrived before at
// from writing such ones again. It returns how many entries it dropped.
func (l *PrefixLedger) Forget(matches func(model string, part uint64) bool, at time.Time) int {
	l.forgets = append(l.forgets, forgetRule{at, matches})
	if len(l.forgets) > maxForgetRules {
		l.forgets = l.forgets[1:]
	}
	l.samples.forget(matches)
	return l.dropAll(func(entry *ledgerEntry) bool { return matches(entry.key.model, entry.lastPart) })
}

// Leave drops all entries of replicas that have left and returns how many that were.
func (l *PrefixLedger) DropReplicas(replicas map[string]bool) int {
	return l.dropAll(func(entry *ledgerEntry) bool { return replicas[entry.key.replica] })
}

// dropAll drops the entries that match and returns how many that were.
func (l *PrefixLedger) dropAll(matches func(entry *ledgerEntry) bool) int {
	before := len(l.entries)
	for _, entry := range l.entries {
		if matches(entry) {
			l.dropEntry(entry)
		}
	}
	return before - len(l.entries)
}

// Size is the count of entries.
func (l *PrefixLedger) Len() int { return len(l.entries) }
