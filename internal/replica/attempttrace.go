package replica

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errUnsolicitedResponse reports a response that was read before its request was written, so it belongs to another request.
var errUnsolicitedResponse = errors.New("response received before its request was written")

// attemptTrace records which connections the transport used for one attempt, and how many bytes were written to and read from
// them. It distinguishes an attempt that put nothing on the wire from one that the replica may have run.
type attemptTrace struct {
	id string
	// maxIdle is the maximum time that a reused connection may have been idle.
	maxIdle time.Duration

	// lock guards the fields below: the transport may call gotConnection on another goroutine.
	lock sync.Mutex
	// connection is the last connection that the transport used, or nil.
	connection *countedConnection
	// reused is the transport's own report that the connection had served a request before. firstUse is set if the connection
	// had carried no traced attempt. idleFor is how long the connection had been idle.
	reused   bool
	firstUse bool
	idleFor  time.Duration
	// writtenAtStart and readAtStart are the connection's byte counts when this attempt began to use it.
	writtenAtStart int64
	readAtStart    int64
	// mayHaveWritten is set if an earlier connection of this attempt may have carried the request.
	mayHaveWritten bool
}

// attach returns a context whose requests are recorded by the trace.
func (a *attemptTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConnection})
}

// gotConnection is called for every connection that the transport uses for this attempt, before anything is written to it. The
// transport may use a second connection: it resends a request without a body when a reused connection fails. The second
// connection is retired if the first may have carried the request, so that the request is never sent twice.
func (a *attemptTrace) gotConnection(info httptrace.GotConnInfo) {
	connection, known := info.Conn.(*countedConnection)
	if !known {
		return
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.connection != nil && a.connection.written.Load() > a.writtenAtStart {
		a.mayHaveWritten = true
	}
	a.connection, a.reused, a.idleFor = connection, info.Reused, info.IdleTime
	a.writtenAtStart, a.readAtStart = connection.written.Load(), connection.read.Load()
	usedBefore, carriedThis := connection.recordAttempt(a.id)
	a.firstUse = !usedBefore
	if a.mayHaveWritten || carriedThis || info.Reused && info.IdleTime > a.maxIdle {
		connection.retired.Store(true)
	}
}

// nothingWritten reports whether it is certain that no byte of the request was sent.
func (a *attemptTrace) nothingWritten() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return !a.mayHaveWritten && (a.connection == nil || a.connection.written.Load() == a.writtenAtStart)
}

// nothingRead reports whether a reused connection returned no byte, and how long that connection had been idle.
func (a *attemptTrace) nothingRead() (idleFor time.Duration, nothing bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.idleFor, a.connection != nil && a.reused && a.connection.read.Load() == a.readAtStart
}

// onReusedConnection reports whether the last connection had been used before this attempt.
func (a *attemptTrace) onReusedConnection() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.connection != nil && a.reused
}

// firstOnConnection reports whether the last connection carried nothing before this attempt, so that a response read from it
// cannot belong to another request.
func (a *attemptTrace) firstOnConnection() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.connection != nil && a.firstUse && !a.mayHaveWritten
}

// discardIfUnsolicited reports whether the response came before the request was written, or on a retired connection, and so
// belongs to another request. In that case it discards the connection, so that the request cannot be written afterwards.
func (a *attemptTrace) discardIfUnsolicited() bool {
	a.lock.Lock()
	connection, writtenAtStart := a.connection, a.writtenAtStart
	a.lock.Unlock()
	if connection == nil || !connection.retired.Load() && connection.written.Load() > writtenAtStart {
		return false
	}
	connection.discard()
	return true
}

// discardConnection discards the connection after a response that does not belong to this attempt or cannot be trusted.
func (a *attemptTrace) discardConnection() {
	a.lock.Lock()
	connection := a.connection
	a.lock.Unlock()
	if connection != nil {
		connection.discard()
	}
}
