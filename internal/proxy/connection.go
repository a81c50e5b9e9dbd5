package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/httpframing"
)

const (
	// requestTimeoutResponse is sent if a request header times out: http.Server would close the connection without a response.
	requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// requestTimeoutWriteTimeout limits the time for writing that response.
	requestTimeoutWriteTimeout = time.Second
)

// clientConnection is a client's connection with the timeouts of the configuration. The server reads and closes it from several
// goroutines, so its state is kept in atomics.
type clientConnection struct {
	net.Conn
	// release frees the connection's slot of the listener.
	release  func()
	timeouts func() ConnectionTimeouts

	// unused is set until the first bytes arrive, idle while the connection is between two requests.
	unused atomic.Bool
	idle   atomic.Bool
	// headStarted is set once bytes of the present request have arrived, handled once the request has reached the handler, and
	// timedOut if the last read timed out.
	headStarted atomic.Bool
	handled     atomic.Bool
	timedOut    atomic.Bool
}

// Close sends status 408 before it closes the connection if a request header has begun but timed out.
func (c *clientConnection) Close() error {
	defer c.release()
	if c.timedOut.Load() && c.headStarted.Load() && !c.handled.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(requestTimeoutWriteTimeout))
		_, _ = c.Conn.Write([]byte(requestTimeoutResponse))
	}
	return c.Conn.Close()
}

// Read records whether the read timed out and whether a request has begun.
func (c *clientConnection) Read(target []byte) (int, error) {
	count, err := c.Conn.Read(target)
	c.timedOut.Store(errors.Is(err, os.ErrDeadlineExceeded))
	if count > 0 && !c.headStarted.Swap(true) {
		c.unused.Store(false)
		c.setHeadDeadline()
	}
	return count, err
}

// SetReadDeadline replaces the deadlines that the server sets by the configured timeouts: the one for idle connections on a new
// connection and between requests, else the one for request headers. An idle connection is never closed before its timeout.
// Deadlines in the past are set unchanged.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.idle.Store(false)
		return c.Conn.SetReadDeadline(deadline)
	}
	now := time.Now()
	if !deadline.After(now) {
		return c.Conn.SetReadDeadline(deadline)
	}
	timeouts := c.timeouts()
	timeout := timeouts.Head
	if c.idle.Swap(false) || c.unused.Load() {
		timeout = timeouts.Idle
	}
	if timeout > 0 {
		deadline = now.Add(timeout)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// setHeadDeadline starts the header timeout when the first bytes of a request arrive; until then the connection is idle.
func (c *clientConnection) setHeadDeadline() {
	if head := c.timeouts().Head; head > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(head))
	}
}

// CloseWrite shuts down the writing side. The server looks for this method and calls it before Close.
func (c *clientConnection) CloseWrite() error {
	if half, known := c.Conn.(interface{ CloseWrite() error }); known {
		return half.CloseWrite()
	}
	return nil
}

type connectionKey struct{}

// ConnContext is the http.Server.ConnContext hook. It makes the connection available in the contexts of its requests.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// bodyReads sets the deadline for reading a request body, past the timeouts that clientConnection.SetReadDeadline puts in its place. The
// connection may be nil.
type bodyReads struct{ connection *clientConnection }

// SetReadDeadline implements bodybudget.Connection.
func (b bodyReads) SetReadDeadline(deadline time.Time) error {
	if b.connection == nil {
		return nil
	}
	return b.connection.Conn.SetReadDeadline(deadline)
}

// markHandled records on the connection of the context that its request has reached the handler.
func markHandled(ctx context.Context) {
	if connection := connectionOf(ctx); connection != nil {
		connection.handled.Store(true)
	}
}

// ConnState is the http.Server.ConnState hook. It resets the state of a connection that becomes idle between two requests.
func ConnState(connection net.Conn, state http.ConnState) {
	client, known := httpframing.Unwrap(connection).(*clientConnection)
	if !known || state != http.StateIdle {
		return
	}
	client.idle.Store(true)
	client.timedOut.Store(false)
	client.headStarted.Store(false)
	client.handled.Store(false)
	_ = client.Conn.SetWriteDeadline(time.Time{})
}
