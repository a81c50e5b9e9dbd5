package replica

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// attemptTrace follows one sending of a request through the transport: which connections it was given and what was
// written to and read from them. It is how a send that left nothing on the wire is told from one that may have run.
type attemptTrace struct {
	id      string
	maxIdle time.Duration

	lock           sync.Mutex
	connection     *countedConnection
	reused         bool
	firstUse       bool
	idleFor        time.Duration
	writtenBefore  int64
	readBefore     int64
	mayHaveWritten bool
}

// got is called for every connection that the transport takes for this attempt, before anything is written to it.
// The transport itself may take a second one: it sends a request without a body again when a reused connection
// fails. The second connection is retired if the first may have carried the request, so that nothing goes out twice.
func (t *attemptTrace) gotConnection(info httptrace.GotConnInfo) {
	connection, known := info.Conn.(*countedConnection)
	if !known {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	again := t.connection != nil && t.connection.written.Load() > t.writtenBefore
	t.mayHaveWritten = t.mayHaveWritten || again
	t.connection, t.reused, t.idleFor = connection, info.Reused, info.IdleTime
	t.writtenBefore, t.readBefore = connection.written.Load(), connection.read.Load()
	usedBefore, carriedThis := connection.recordAttempt(t.id)
	t.firstUse = !usedBefore
	if t.mayHaveWritten || carriedThis || info.Reused && info.IdleTime > t.maxIdle {
		connection.retired.Store(true)
	}
}

// untouched tells that no byte of the request can have left: no connection was written to.
func (t *attemptTrace) nothingWritten() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return !t.mayHaveWritten && (t.connection == nil || t.connection.written.Load() == t.writtenBefore)
}

// unheard tells that nothing came back on a reused connection, and how long that had rested before.
func (t *attemptTrace) nothingRead() (time.Duration, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.idleFor, t.connection != nil && t.reused && t.connection.read.Load() == t.readBefore
}

// stale tells that the last connection had been used before this attempt.
func (t *attemptTrace) onReusedConnection() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.connection != nil && t.reused
}

// first tells that the last connection carried nothing before this attempt, so that no answer on it can be a surplus.
func (t *attemptTrace) firstOnConnection() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.connection != nil && t.firstUse && !t.mayHaveWritten
}

// early tells that an answer came before the request was written, or on a connection that had been retired: it
// belongs to another request. The connection is given up before that is judged, so that the request can't follow.
func (t *attemptTrace) answeredEarly() bool {
	t.lock.Lock()
	connection, written := t.connection, t.writtenBefore
	t.lock.Unlock()
	if connection == nil || !connection.retired.Load() && connection.written.Load() > written {
		return false
	}
	connection.abandon()
	return true
}

// spoiled gives up the connection after an answer that doesn't belong to this attempt or can't be believed.
func (t *attemptTrace) abandonConnection() {
	t.lock.Lock()
	connection := t.connection
	t.lock.Unlock()
	if connection != nil {
		connection.abandon()
	}
}

const maxStaleRetries = 2

var errEarlyResponse = errors.New("answer before its request was written")

// Send forwards the job to the replica at the address, which must be the one with the identity, and returns its answer
// with a verdict. The answer's body is open only with VerdictAnswered; whoever called closes it. The request is
// written at most once: it is tried afresh only after connections to which no byte of it was written.
func (f *Forwarder) Send(ctx context.Context, address, identity string, upstream UpstreamRequest) (*http.Response, Verdict) {
	for retry := 0; ; retry++ {
		trace := &attemptTrace{id: upstream.AttemptID, maxIdle: f.maxIdleFor(upstream.Backend, upstream.NonIdempotent)}
		request := f.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConnection}), address, identity, upstream)
		response, err := f.transportFor(identity, upstream.MaxIdleConnections).RoundTrip(request)
		if err == nil && trace.answeredEarly() {
			response.Body.Close()
			response, err = nil, errEarlyResponse
		}
		if err == nil {
			return response, f.judgeResponse(trace, response, identity, upstream)
		}
		if trace.nothingWritten() {
			if trace.onReusedConnection() && retry < maxStaleRetries && ctx.Err() == nil {
				f.CloseIdle(identity)
				continue
			}
			return nil, VerdictNotSent
		}
		if idle, unheard := trace.nothingRead(); err != errEarlyResponse && unheard && ctx.Err() == nil && idle > minIdleTime {
			f.recordIdleDeath(upstream.Backend, idle)
			f.CloseIdle(identity)
			return nil, VerdictReset
		}
		return nil, VerdictUnknown
	}
}

// accept judges an answer and sees to its connection: one that gave an answer out of step isn't used again.
func (f *Forwarder) judgeResponse(trace *attemptTrace, response *http.Response, identity string, upstream UpstreamRequest) Verdict {
	verdict := judge(response, upstream.AttemptID, identity, trace.firstOnConnection())
	switch verdict {
	case VerdictAnswered:
		f.learnKeepAlive(upstream.Backend, response)
	case VerdictUnknown:
		trace.abandonConnection()
		response.Body.Close()
	default:
		f.learnKeepAlive(upstream.Backend, response)
		go drainBody(response)
	}
	return verdict
}

func (f *Forwarder) learnKeepAlive(service string, response *http.Response) {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			f.recordKeepAlive(service, time.Duration(seconds)*time.Second)
		}
	}
}
