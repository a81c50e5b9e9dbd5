package proxy

import (
	"maps"
	"sync"

	"ferryspar/internal/replica"
)

// AttemptOutcome is the key of AttemptCounts: a backend, and the outcome of an attempt at one of its replicas.
type AttemptOutcome struct {
	Backend string
	// Outcome is a name of verdictNames, such a name with the prefix for prefill steps (prefillOutcome), or a constant below.
	Outcome string
}

// verdictNames holds the names of verdicts in metrics and status pages.
var verdictNames = map[replica.Verdict]string{
	replica.VerdictAnswered:  "answered",
	replica.VerdictRejected:  "rejected",
	replica.VerdictNotLoaded: "not_served_there",
	replica.VerdictReplaced:  "replaced",
	replica.VerdictNotSent:   "not_sent",
	replica.VerdictUnknown:   "unknown",
	replica.VerdictReset:     "reset",
}

// Outcomes that are not verdicts.
const (
	// outcomeWithdrawn counts attempts that were not sent because the assigned replica was no longer eligible.
	outcomeWithdrawn = "withdrawn"
	// outcomePromptUnused counts prefilled prompts that were not continued from, so that their KV cache was freed.
	outcomePromptUnused = "prompt_unused"
	// outcomeHandleGone counts attempts with a handle that were rejected: the handle's KV cache had expired or could not be
	// fetched, or the replica was full.
	outcomeHandleGone = "handle_gone"
)

// AttemptCounts counts attempts by backend and outcome since the start of the process. The zero value is ready to use. It is
// safe for concurrent use.
type AttemptCounts struct {
	// lock guards byOutcome.
	lock      sync.Mutex
	byOutcome map[AttemptOutcome]uint64
}

// add counts an attempt with the outcome.
func (c *AttemptCounts) add(backend, outcome string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.byOutcome == nil {
		c.byOutcome = map[AttemptOutcome]uint64{}
	}
	c.byOutcome[AttemptOutcome{Backend: backend, Outcome: outcome}]++
}

// Snapshot returns a copy of the counts.
func (c *AttemptCounts) Snapshot() map[AttemptOutcome]uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return maps.Clone(c.byOutcome)
}

// ByBackend returns the counts by backend, then outcome. The map is never nil.
func (c *AttemptCounts) ByBackend() map[string]map[string]uint64 {
	byBackend := map[string]map[string]uint64{}
	for key, count := range c.Snapshot() {
		if byBackend[key.Backend] == nil {
			byBackend[key.Backend] = map[string]uint64{}
		}
		byBackend[key.Backend][key.Outcome] = count
	}
	return byBackend
}
