package routing

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
)

// Request is one attempt to serve a client's request. The submitter fills the exported fields; from
// Submit on it belongs to the matcher.
type Request struct {
	Attempt          string   // id of the attempt
	Backend          string   // from the route
	Model            string   // or model/adapter; empty where the backend has no models
	Parts            []Part   // the prompt's parts, with their tokens
	PrefixHashes     []uint64 // HashPrefixes(Parts)
	PromptTokens     float64  // tokens
	OutputTokens     float64  // tokens, expected
	Arrived          time.Time
	Deadline         time.Time
	LatencyTarget    time.Duration   // of the route, for the first event; 0 for none
	Priority         int             // of the tenant or the route, 0 is the highest
	ExcludedReplicas map[string]bool // ids of replicas that must not be used again
	AllowedRegions   []string        // regions allowed by the route; empty for all
	ClientRetry      bool            // a client's second try: little of its patience is left
	Idempotent       bool            // the route allows a second run
	Route            string          // name; empty for requests that are not to be sampled
	Tenant           configuration.TenantNumber
	Resumed          bool // the client already has a head and part of the stream

	// Answer receives exactly one command. Submit and Begin make it.
	Decided chan Decision

	modelNotLoaded          bool // no usable replica held the model when last tried
	modelNotLoadedSignalled bool // and LoadReportDue was signalled for it
	decided                 bool // answered or withdrawn

	// indexed and holders cache the index's holders of the model while the request waits.
	hostsIndex *Index
	hosts      []int

	// wasSent and cachedParts tell forecasts how many parts were expected in the cache at the send.
	wasSent     bool
	cachedParts int

	drill        *Drill // in force when the request arrived
	underDrill   bool   // picked by it
	onlyCopyLost bool   // all copies are in the drilled loss, so it is spared
}

// Tokens is the KV memory that the request needs, in tokens.
func (r *Request) TotalTokens() float64 { return r.PromptTokens + r.OutputTokens }

// prompt is the request's prompt for the ledger.
func (r *Request) prompt() Prompt {
	return Prompt{Model: r.Model, Parts: r.Parts, PrefixHashes: r.PrefixHashes}
}

// recordCachedParts notes how many leading parts make up the tokens that were expected in the cache.
func (r *Request) recordCachedParts(cachedTokens float64) {
	r.wasSent = true
	r.cachedParts = 0
	for ; r.cachedParts < len(r.Parts) && cachedTokens > 0; r.cachedParts++ {
		cachedTokens -= r.Parts[r.cachedParts].Tokens
	}
}

// Decision is the decision on a request: a replica with a ticket for reports, or an error.
type Decision struct {
	Replica *Replica
	Ticket  *Ticket
	Error   *apierror.Error
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

	firstEventSeen bool // a first event was reported
	failureCounted bool // the replica's record holds a failure of this ticket, or must not
	overdueCounted bool // it is for a first event that was overdue; taken back when it comes
}

// Outcome is what a data plane saw of a request that it sent.
type Outcome int

// The outcomes. First, Alive and Lagging tell of a request that still runs; every other one ends it.
const (
	OutcomeFirstEvent      Outcome = iota // the first event of the answer
	OutcomeServed                         // the whole answer
	OutcomeTruncated                      // the answer was cut, or its end is unknown
	OutcomeCancelled                      // ended by the client or the deadline
	OutcomeFull                           // turned away as full, with the proof that it did not run
	OutcomeModelMissing                   // the model is not loaded there
	OutcomeShuttingDown                   // the replica is ending
	OutcomeUnreachable                    // no connection
	OutcomeProgress                       // a further sign of life
	OutcomeFailed                         // an answer that reports a failure, or without its own id or seal
	OutcomeConnectionReset                // a reused connection was reset before a byte of the answer
	OutcomeStalled                        // a pause in the stream beyond the route's bound
)

// Report is an outcome with the time it was seen.
type Report struct {
	Ticket  *Ticket
	Outcome Outcome
	At      time.Time
}
