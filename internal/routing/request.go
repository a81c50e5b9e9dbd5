package routing

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
)

// Request is one attempt to serve a client's request. The submitter fills the exported fields; from
// Submit on it belongs to the matcher.
type Request struct {
	AttemptID        string       // id of the attempt
	Backend          string       // from the route
	Model            string       // or model/adapter; empty if the backend has no models
	Parts            []PromptPart // the prompt's parts, with their tokens
	PrefixHashes     []uint64     // HashPrefixes(Parts)
	PromptTokens     float64
	OutputTokens     float64 // expected
	ArrivedAt        time.Time
	Deadline         time.Time
	LatencyTarget    time.Duration   // of the route, for the first event; 0 for none
	MaxTokenGap      time.Duration   // longest gap between events by the route; 0 for no limit
	Priority         int             // of the tenant or the route, 0 is the highest
	ExcludedReplicas map[string]bool // ids of replicas that must not be used again
	AllowedRegions   []string        // regions allowed by the route; empty for all
	ClientRetry      bool            // a client's retry: little of the time it waits is left
	Idempotent       bool            // the route allows a second execution
	Route            string          // name; empty for requests that are not to be sampled
	Tenant           configuration.TenantNumber
	Resumed          bool // the client already has the response header and part of the stream
	// NoPrefillStep says that the prompt must not be read at a replica of its own.
	NoPrefillStep bool
	// HeldPrefill, if set, is a step of an earlier decision whose prompt was read and whose memory is still held: the request is to
	// continue from it, or to be served without it.
	HeldPrefill *PrefillStep

	// Decided receives exactly one decision. Submit and Enqueue make it.
	Decided chan Decision

	shed                    bool // rejected to relieve a split backend
	modelNotLoaded          bool // no usable replica had the model loaded when last tried
	modelNotLoadedSignalled bool // and LoadReportDue was signalled for it
	decided                 bool // decided or cancelled
	// turn is its tenant's, see tenantTurns.
	turn float64

	// hostsIndex and hosts cache the index's hosts of the model while the request waits.
	hostsIndex   *Index
	hosts        []int
	prefillHosts []int

	// wasSent and cachedParts tell forecasts how many parts were expected in the cache at the send.
	wasSent     bool
	cachedParts int

	drill        *Drill // in force when the request arrived
	underDrill   bool   // selected by it
	onlyCopyLost bool   // all copies are in the drilled loss, so it is exempt
}

// TotalTokens is the KV memory that the request needs, in tokens.
func (r *Request) TotalTokens() float64 { return r.PromptTokens + r.OutputTokens }

// modelKey returns the key of the request's model.
func (r *Request) modelKey() modelKey { return modelKey{r.Backend, r.Model} }

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

// Decision is the result of a request: a replica with a ticket for reports, or an error.
type Decision struct {
	Replica *Replica
	Ticket  *Ticket
	// Prefill, if set, is to be done first: Replica continues from the memory of the prompt that is read by it. It is
	// Request.HeldPrefill where that is what Replica continues from.
	Prefill *PrefillStep
	Error   *apierror.Error
}

// PrefillStep is the replica that reads a request's prompt, chosen together with the one that continues.
type PrefillStep struct {
	Replica *Replica
	Ticket  *Ticket
	// Timeout is how long the step may take before the request goes on without it.
	Timeout time.Duration
}

// Ticket stands for one request sent to one replica. The submitter only hands it back in reports.
type Ticket struct {
	request        *Request
	replica        string // id
	features       Features
	predictedMs    float64 // time to the first token, ms
	cachedTokens   float64 // prompt tokens expected in the cache
	uncachedTokens float64 // prompt tokens to be read
	pace           float64 // of the model, when sent
	sentAt         time.Time

	step servingStep
	key  stepKey // of its latency model; unused with a replica that does both phases
	// holdTime is how long memory that was read and is never taken is held.
	holdTime time.Duration
	// prefill, of a ticket of stepDecode, is that of the replica that reads the prompt; next is the way back.
	prefill *Ticket
	next    *Ticket
	// prefilled and holding, of stepPrefill, say that the prompt was read, and that its memory is held at the replica.
	prefilled bool
	holding   bool
	// readAt is when the prompt was read.
	readAt time.Time

	firstEventSeen bool // a first event was reported
	failureCounted bool // the replica's record holds a failure of this ticket, or must not
	overdueCounted bool // that failure is an overdue first event; taken back when it comes
}

// tokens is the KV memory that the step needs.
func (t *Ticket) tokens() float64 {
	if t.step == stepPrefill {
		return t.request.PromptTokens
	}
	return t.request.TotalTokens()
}

// Outcome is what a data plane saw of a request that it sent.
type Outcome int

// The outcomes. After OutcomeFirstEvent, OutcomeProgress, OutcomeStalled and OutcomePrefilled the request still
// runs; every other one ends it.
const (
	OutcomeFirstEvent      Outcome = iota // the first event of the answer
	OutcomeServed                         // the complete answer
	OutcomeTruncated                      // the answer was truncated, or its end is unknown
	OutcomeCancelled                      // ended by the client or the deadline
	OutcomeFull                           // rejected as full, with the proof that it was not executed
	OutcomeModelMissing                   // the model is not loaded there
	OutcomeShuttingDown                   // the replica is shutting down
	OutcomeUnreachable                    // no connection
	OutcomeProgress                       // a further event of the answer
	OutcomeFailed                         // an answer that reports a failure, or without its own id or seal
	OutcomeConnectionReset                // a reused connection was reset before a byte of the answer
	OutcomeStalled                        // a gap in the stream beyond the route's limit
	OutcomePrefilled                      // the prompt was read, and its memory is held
	OutcomeHandleGone                     // rejected without being full: the prompt's memory could not be fetched
	OutcomeWithdrawn                      // not sent: the replica must not be sent it any more
)

// Report is an outcome with the time it was seen.
type Report struct {
	Ticket  *Ticket
	Outcome Outcome
	At      time.Time
}
