package match

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
)

// Request is one attempt to serve a client's request. The submitter fills the exported fields; from
// Submit on it belongs to the matcher.
type Request struct {
	Attempt    string   // id of the attempt
	Backend    string   // from the route
	Model      string   // or model/adapter; empty where the backend has no models
	Parts      []Part   // the prompt's parts, with their tokens
	Dialogues  []uint64 // Dialogues(Parts)
	Prompt     float64  // tokens
	Output     float64  // tokens, expected
	Arrived    time.Time
	Deadline   time.Time
	Aim        time.Duration   // of the route, for the first event; 0 for none
	Priority   int             // of the tenant or the route, 0 is the highest
	Excluded   map[string]bool // ids of replicas that must not be used again
	Homes      []string        // regions allowed by the route; empty for all
	Returned   bool            // a client's second try: little of its patience is left
	Repeatable bool            // the route allows a second run
	Route      string          // name; empty for requests that are not to be sampled
	Tenant     configuration.TenantNumber
	Resumed    bool // the client already has a head and part of the stream

	// Answer receives exactly one command. Submit and Begin make it.
	Answer chan Command

	unplaced          bool // no usable replica held the model when last tried
	unplacedSignalled bool // and ReportNow was signalled for it
	decided           bool // answered or withdrawn

	// indexed and holders cache the index's holders of the model while the request waits.
	indexed *Index
	holders []int

	// wasSent and warmParts tell forecasts how many parts were expected in the cache at the send.
	wasSent   bool
	warmParts int

	drill        *Drill // in force when the request arrived
	drilled      bool   // picked by it
	onlyCopyLost bool   // all copies are in the drilled loss, so it is spared
}

// Tokens is the KV memory that the request needs, in tokens.
func (r *Request) Tokens() float64 { return r.Prompt + r.Output }

// prompt is the request's prompt for the ledger.
func (r *Request) prompt() Prompt {
	return Prompt{Model: r.Model, Parts: r.Parts, Dialogues: r.Dialogues}
}

// noteWarm notes how many leading parts make up the tokens that were expected in the cache.
func (r *Request) noteWarm(kept float64) {
	r.wasSent = true
	r.warmParts = 0
	for ; r.warmParts < len(r.Parts) && kept > 0; r.warmParts++ {
		kept -= r.Parts[r.warmParts].Tokens
	}
}

// Command is the decision on a request: a replica with a ticket for reports, or an error.
type Command struct {
	Replica *Replica
	Ticket  *Ticket
	Error   *apierror.Error
}

// Ticket stands for one request sent to one replica. The submitter only hands it back in reports.
type Ticket struct {
	request   *Request
	replica   string // id
	features  Features
	predicted float64 // time to the first token, ms
	kept      float64 // prompt tokens expected in the cache
	uncached  float64 // prompt tokens to be read
	pace      float64 // of the model, when sent
	sent      time.Time

	answered       bool // a first event was reported
	failureCounted bool // the replica's record holds a failure of this ticket, or must not
	overdueCounted bool // it is for a first event that was overdue; taken back when it comes
}

// Outcome is what a data plane saw of a request that it sent.
type Outcome int

// The outcomes. First, Alive and Lagging tell of a request that still runs; every other one ends it.
const (
	OutcomeFirst     Outcome = iota // the first event of the answer
	OutcomeServed                   // the whole answer
	OutcomeBroken                   // the answer was cut, or its end is unknown
	OutcomeCancelled                // ended by the client or the deadline
	OutcomeFull                     // turned away as full, with the proof that it did not run
	OutcomeMissing                  // the model is not loaded there
	OutcomeGone                     // the replica is ending
	OutcomeUnreached                // no connection
	OutcomeAlive                    // a further sign of life
	OutcomeFailed                   // an answer that reports a failure, or without its own id or seal
	OutcomeReset                    // a reused connection was reset before a byte of the answer
	OutcomeLagging                  // a pause in the stream beyond the route's bound
)

// Report is an outcome with the time it was seen.
type Report struct {
	Ticket  *Ticket
	Outcome Outcome
	At      time.Time
}
