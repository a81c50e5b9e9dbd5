package replica

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errEarlyResponse says that a response came before its request was written, so that it belongs to another.
var errEarlyResponse = errors.New("response before its request was written")

// attemptTrace follows one sending of a request through the transport: which connections it was given and what was written
// to and read from them. It is how a request that left nothing on the wire is distinguished from one that may have run.
type attemptTrace struct {
	id string
	// maxIdle is for how long a reused connection may have been idle.
	maxIdle time.Duration

	// lock guards what follows: the transport may call gotConnection on another goroutine.
	lock sync.Mutex
	// connection is the last one that the transport took, nil before the first.
	connection *countedConnection
	// reused says that the connection had been used before, firstUse that it had carried no attempt, and idleFor is how long
	// it had been idle.
	reused   bool
	firstUse bool
	idleFor  time.Duration
	// writtenBefore and readBefore are the counts of the connection when it was taken.
	writtenBefore int64
	readBefore    int64
	// mayHaveWritten says that an earlier connection may have carried the request.
	mayHaveWritten bool
}

// follow returns a context whose requests are followed by the trace.
func (a *attemptTrace) follow(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConnection})
}

// gotConnection is called for every connection that the transport takes for this attempt, before anything is written to it.
// The transport itself may take a second one: it sends a request without a body again when a reused connection fails. The
// second connection is retired if the first may have carried the request, so that nothing goes out twice.
func (a *attemptTrace) gotConnection(info httptrace.GotConnInfo) {
	connection, known := info.Conn.(*countedConnection)
	if !known {
		return
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.connection != nil && a.connection.written.Load() > a.writtenBefore {
		a.mayHaveWritten = true
	}
	a.connection, a.reused, a.idleFor = connection, info.Reused, info.IdleTime
	a.writtenBefore, a.readBefore = connection.written.Load(), connection.read.Load()
	usedBefore, carriedThis := connection.recordAttempt(a.id)
	a.firstUse = !usedBefore
	if a.mayHaveWritten || carriedThis || info.Reused && info.IdleTime > a.maxIdle {
		connection.retired.Store(true)
	}
}

// nothingWritten reports whether it is certain that no byte of the request can have left: no connection was written to.
func (a *attemptTrace) nothingWritten() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return !a.mayHaveWritten && (a.connection == nil || a.connection.written.Load() == a.writtenBefore)
}

// nothingRead reports whether nothing came back on a reused connection, and how long that had been idle before.
func (a *attemptTrace) nothingRead() (idleFor time.Duration, nothing bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.idleFor, a.connection != nil && a.reused && a.connection.read.Load() == a.readBefore
}

// onReusedConnection reports whether the last connection had been used before this attempt.
func (a *attemptTrace) onReusedConnection() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.connection != nil && a.reused
}

// firstOnConnection reports whether the last connection carried nothing before this attempt, so that no response on it can be a
// surplus one.
func (a *attemptTrace) firstOnConnection() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.connection != nil && a.firstUse && !a.mayHaveWritten
}

// answeredEarly reports whether a response came before the request was written, or on a connection that had been retired: it
// belongs to another request. The connection is abandoned before that is judged, so that the request can't follow.
func (a *attemptTrace) answeredEarly() bool {
	a.lock.Lock()
	connection, writtenBefore := a.connection, a.writtenBefore
	a.lock.Unlock()
	if connection == nil || !connection.retired.Load() && connection.written.Load() > writtenBefore {
		return false
	}
	connection.abandon()
	return true
}

// abandonConnection abandons the connection after a response that doesn't belong to this attempt or can't be trusted.
func (a *attemptTrace) abandonConnection() {
	a.lock.Lock()
	connection := a.connection
	a.lock.Unlock()
	if connection != nil {
		connection.abandon()
	}
}
