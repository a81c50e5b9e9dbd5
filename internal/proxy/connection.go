package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// requestTimeoutResponse answers a head that was not complete in time, which the server itself would only close.
	requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// requestTimeoutWriteTimeout is how long that answer may take to be written.
	requestTimeoutWriteTimeout = time.Second
)

// clientConnection is a connection of a client. The server reads and closes it from several goroutines, so its state is kept
// in atomics.
type clientConnection struct {
	net.Conn
	// release gives the connection's slot back.
	release  func()
	timeouts func() ConnectionTimeouts

	// unused says that nothing has arrived yet, and idle that the connection is between two requests.
	unused atomic.Bool
	idle   atomic.Bool
	// headStarted says that bytes of the present request have arrived, handled that the handler has it, and timedOut that
	// the last read ran out of time.
	headStarted atomic.Bool
	handled     atomic.Bool
	timedOut    atomic.Bool
}

// Close answers 408 where a head began and was not complete in time.
func (c *clientConnection) Close() error {
	defer c.release()
	if c.timedOut.Load() && c.headStarted.Load() && !c.handled.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(requestTimeoutWriteTimeout))
		_, _ = c.Conn.Write([]byte(requestTimeoutResponse))
	}
	return c.Conn.Close()
}

// Read records whether the time ran out and whether a request has begun.
func (c *clientConnection) Read(target []byte) (int, error) {
	count, err := c.Conn.Read(target)
	c.timedOut.Store(errors.Is(err, os.ErrDeadlineExceeded))
	if count > 0 && !c.headStarted.Swap(true) && c.unused.Swap(false) {
		c.setHeadDeadline()
	}
	return count, err
}

// SetReadDeadline puts the timeouts of the configuration in the place of the server's own: that for a head, or for an idle
// connection, which is never closed before the time stated. Deadlines in the past pass through.
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

// setHeadDeadline starts the time for the head when the first bytes of a new connection arrive; until then it is idle.
func (c *clientConnection) setHeadDeadline() {
	if head := c.timeouts().Head; head > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(head))
	}
}

// CloseWrite lets the server end its side before the connection is closed.
func (c *clientConnection) CloseWrite() error {
	if half, known := c.Conn.(interface{ CloseWrite() error }); known {
		return half.CloseWrite()
	}
	return nil
}

type connectionKey struct{}

// ConnContext is the server's hook of that name: it lets the handler find the connection of its request.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// markHandled records that the request of the context has reached the handler.
func markHandled(ctx context.Context) {
	if connection, known := ctx.Value(connectionKey{}).(*clientConnection); known {
		connection.handled.Store(true)
	}
}

// ConnState is the server's hook of that name: a connection between two requests is idle and starts afresh.
func ConnState(connection net.Conn, state http.ConnState) {
	client, known := connection.(*clientConnection)
	if !known || state != http.StateIdle {
		return
	}
	client.idle.Store(true)
	client.timedOut.Store(false)
	client.headStarted.Store(false)
	client.handled.Store(false)
	_ = client.Conn.SetWriteDeadline(time.Time{})
}
