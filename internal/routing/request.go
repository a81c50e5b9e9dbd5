package routing

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
)

// Request is one attempt to serve a client's request. The submitter sets the exported fields; from
// Submit on it belongs to the matcher.
type Request struct {
	AttemptID        string
	Backend          string       // from the route
	Model            string       // or model/adapter; empty if the backend has no models
	Parts            []PromptPart // the prompt's parts, with their tokens
	PrefixHashes     []uint64     // HashPrefixes(Parts)
	PromptTokens     float64
	OutputTokens     float64 // expected
	ArrivedAt        time.Time
	Deadline         time.Time
	LatencyTarget    time.Duration   // of the route, for the first event; 0 for none
	MaxTokenGap      time.Duration   // of the route, between events; 0 for no limit
	Priority         int             // of the tenant or the route, 0 is the highest
	ExcludedReplicas map[string]bool // ids of replicas that must not be used again
	AllowedRegions   []string        // regions allowed by the route; empty for all
	Idempotent       bool            // the route allows a second execution
	Route            string          // name; empty for requests that must not be sampled
	Tenant           configuration.TenantNumber
	Resumed          bool // the client already received the response header and part of the stream
	// NoPrefillStep requires the prefill to run at the decode replica.
	NoPrefillStep bool
	// CompletedPrefill, if set, is a completed prefill step of an earlier decision whose KV cache was not fetched yet: the
	// request continues from it, or is served without it.
	CompletedPrefill *PrefillStep

	// Decided receives exactly one decision. Submit and Enqueue create it.
	Decided chan Decision

	// remainingWork is how long the request is likely to take once it is decided, and expectedWait, if above 0, when it is expected to
	// get a slot; both as of the last try.
	remainingWork time.Duration
	expectedWait  time.Duration

	modelNotLoaded          bool // no usable replica had the model loaded at the last try
	modelNotLoadedSignalled bool // LoadReportDue was signalled for it
	decided                 bool // decided or cancelled
	// startTag orders the requests of one priority, see fairQueue.
	startTag float64

	// hosts and prefillHosts cache the hosts of the model in hostsIndex while the request waits.
	hostsIndex   *Index
	hosts        []int
	prefillHosts []int

	// wasSent and cachedParts record, for forecasts, how many leading parts were expected in the cache at the send.
	wasSent     bool
	cachedParts int

	drill        *Drill // the drill in force when the request arrived, or nil
	underDrill   bool   // selected by the drill
	heldByDrill  bool   // tried once without the drilled replicas
	onlyCopyLost bool   // all replicas that could serve it are in the drilled loss, so it is exempt
}

// TotalTokens returns the KV memory that the request needs, in tokens.
func (r *Request) TotalTokens() float64 { return r.PromptTokens + r.OutputTokens }

func (r *Request) modelKey() modelKey { return modelKey{r.Backend, r.Model} }

// baseModelKey returns the key of the request's model without its adapter.
func (r *Request) baseModelKey() modelKey { return modelKey{r.Backend, BaseModel(r.Model)} }

// prompt returns the request's prompt for the ledger.
func (r *Request) prompt() Prompt {
	return Prompt{Model: r.Model, Parts: r.Parts, PrefixHashes: r.PrefixHashes}
}

// recordCachedParts records how many leading parts make up the tokens that were expected in the cache.
func (r *Request) recordCachedParts(cachedTokens float64) {
	r.wasSent = true
	r.cachedParts = 0
	for ; r.cachedParts < len(r.Parts) && cachedTokens > 0; r.cachedParts++ {
		cachedTokens -= r.Parts[r.cachedParts].Tokens
	}
}

// Decision is the result of routing a request: a replica with a ticket for reports, or an error.
type Decision struct {
	Replica *Replica
	Ticket  *Ticket
	// Prefill, if set, is the prefill step to run first: Replica continues from the KV cache that it produces. It is
	// Request.CompletedPrefill if Replica continues from that step.
	Prefill *PrefillStep
	Error   *apierror.Error
}

// PrefillStep is the prefill of a request at a prefill replica, which is chosen together with the decode replica.
type PrefillStep struct {
	Replica *Replica
	Ticket  *Ticket
	// Timeout is how long the step may take before the request continues without it.
	Timeout time.Duration
}

// Ticket identifies one request sent to one replica. The submitter only passes it to reports.
type Ticket struct {
	request        *Request
	replica        string // id
	features       Features
	predictedMs    float64 // time to the first token, ms
	cachedTokens   float64 // prompt tokens expected in the cache
	uncachedTokens float64 // prompt tokens to be prefilled
	prefillFactor  float64 // of the model, at the send
	sentAt         time.Time

	step servingStep
	key  stepKey // of its latency model; unused for a replica that does both phases
	// timeout, in a ticket of stepPrefill, is how long the step may take.
	timeout time.Duration
	// kvTTL is how long the prefill replica keeps a KV cache that is not fetched.
	kvTTL time.Duration
	// prefill, in a ticket of stepDecode, is the ticket of the prefill step, and decode the reverse.
	prefill *Ticket
	decode  *Ticket
	// prefilled, in a ticket of stepPrefill, is set once the prefill is complete, and kvCounted while its KV cache counts in
	// the replica's unfetchedKV.
	prefilled bool
	kvCounted bool
	// prefilledAt is when the prefill was complete.
	prefilledAt time.Time

	// expectedMs is the expected time from the send to the end of the answer, in ms, for the forecast of free slots.
	expectedMs float64

	firstEventSeen bool // a first event was reported
	firstEventAt   time.Time
	failureCounted bool // a failure of this ticket was counted, or must not be
	overdueCounted bool // the counted failure is an overdue first event, which is taken back when the event arrives
}

// tokens returns the KV memory that the step needs, in tokens.
func (t *Ticket) tokens() float64 {
	if t.step == stepPrefill {
		return t.request.PromptTokens
	}
	return t.request.TotalTokens()
}

// endsPerMs returns the request's part of the rate at which its replica gives slots back, 0 if its duration is not known.
func (t *Ticket) endsPerMs() float64 {
	if t.expectedMs <= 0 {
		return 0
	}
	return 1 / t.expectedMs
}

// Outcome is an event of a request that a data plane sent.
type Outcome int

// The outcomes. After OutcomeFirstEvent, OutcomeProgress, OutcomeStalled and OutcomePrefilled the request still
// runs; every other outcome ends it.
const (
	OutcomeFirstEvent      Outcome = iota // the first event of the answer
	OutcomeServed                         // the complete answer
	OutcomeTruncated                      // the answer was truncated, or its end is unknown
	OutcomeCancelled                      // ended by the client or the deadline
	OutcomeFull                           // rejected as full, with a proof that it was not executed
	OutcomeModelMissing                   // the model is not loaded at the replica
	OutcomeShuttingDown                   // the replica is shutting down
	OutcomeUnreachable                    // no connection
	OutcomeProgress                       // a further event of the answer
	OutcomeFailed                         // an answer that reports a failure, or lacks the replica's own id or seal
	OutcomeConnectionReset                // a reused connection was reset before a byte of the answer
	OutcomeStalled                        // a gap in the stream beyond the route's limit
	OutcomePrefilled                      // the prefill is complete, and its KV cache can be fetched
	OutcomeHandleGone                     // rejected without being full: the prompt's KV cache could not be fetched
	OutcomeWithdrawn                      // not sent: the replica may not be sent the request any more
)

// Report is an outcome with the time it was seen.
type Report struct {
	Ticket  *Ticket
	Outcome Outcome
	At      time.Time
}
