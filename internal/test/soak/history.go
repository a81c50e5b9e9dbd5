package main

import (
	"sync"
	"time"
)

// Moments are durations since the start of the run.

// sentRequest is a request of a client with its outcome.
type sentRequest struct {
	ID    string `json:"id"`
	Node  string `json:"node"`
	Route string `json:"route"`
	// HeadAt is when the header was sent, SentAt when the last byte was sent, FirstByteAt when the response began (0 if it did not), and
	// EndedAt when the response or the connection ended.
	HeadAt      time.Duration `json:"headAt"`
	SentAt      time.Duration `json:"sentAt"`
	FirstByteAt time.Duration `json:"firstByteAt"`
	EndedAt     time.Duration `json:"endedAt"`
	// Status is 0 if no response header came. Complete is set if the whole response came.
	Status   int    `json:"status"`
	Complete bool   `json:"complete"`
	Seal     string `json:"seal"`
	Body     string `json:"body"`
}

// execution is one run of a request at a replica.
type execution struct {
	ID        string        `json:"id"`
	Replica   string        `json:"replica"`
	Zone      string        `json:"zone"`
	Body      string        `json:"body"`
	StartedAt time.Duration `json:"startedAt"`
	EndedAt   time.Duration `json:"endedAt"`
	// From is the event after which the stream is resumed, 0 for its start.
	From         int          `json:"from,omitempty"`
	Misbehaviour misbehaviour `json:"misbehaviour,omitempty"`
	// Complete is set if the replica has written its whole response.
	Complete bool `json:"complete"`
}

// nodeEvent is something that was done to a process.
type nodeEvent struct {
	At   time.Duration `json:"at"`
	Node string        `json:"node"`
	Kind faultKind     `json:"kind"`
}

// acknowledgement is an answered change of the configuration.
type acknowledgement struct {
	At       time.Duration `json:"at"`
	Revision int           `json:"revision"`
}

// configurationRead is an answered read of the configuration.
type configurationRead struct {
	SentAt   time.Duration `json:"sentAt"`
	Node     string        `json:"node"`
	Revision int           `json:"revision"`
}

// evacuation is an acknowledged evacuation of a zone until EndedAt, when the call that takes it back was sent.
type evacuation struct {
	Zone           string        `json:"zone"`
	AcknowledgedAt time.Duration `json:"acknowledgedAt"`
	EndedAt        time.Duration `json:"endedAt"`
}

// history is the record of a run.
type history struct {
	Requests         []sentRequest       `json:"requests"`
	Executions       []execution         `json:"executions"`
	Events           []nodeEvent         `json:"events"`
	Acknowledgements []acknowledgement   `json:"acknowledgements"`
	Reads            []configurationRead `json:"reads"`
	Evacuations      []evacuation        `json:"evacuations"`
	// Coordination holds the report of the applications that coordinate through the control planes, if it names a broken promise.
	Coordination []string `json:"coordination"`
	// Usage holds what the processes of each kind used.
	Usage map[string]processUsage `json:"usage"`
	// FinalRevision is the revision of the configuration that was read at the end, 0 if none could be read.
	FinalRevision int `json:"finalRevision"`
	// Panics are lines of the processes' logs that report a panic or a data race.
	Panics []string `json:"panics"`
}

// recorder collects a history. It is safe for concurrent use.
type recorder struct {
	startedAt time.Time
	lock      sync.Mutex
	history   history
}

func newRecorder() *recorder { return &recorder{startedAt: time.Now()} }

func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// record changes the history.
func (r *recorder) record(change func(h *history)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	change(&r.history)
}

// beginExecution records the start of a run and returns its position.
func (r *recorder) beginExecution(run execution) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	run.StartedAt = r.now()
	r.history.Executions = append(r.history.Executions, run)
	return len(r.history.Executions) - 1
}

func (r *recorder) endExecution(position int, complete bool) {
	r.record(func(h *history) {
		h.Executions[position].EndedAt = r.now()
		h.Executions[position].Complete = complete
	})
}
