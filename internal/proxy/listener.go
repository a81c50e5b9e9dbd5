package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// LimitedListener accepts a bounded number of clients' connections and holds them to the limits of the configuration.
type LimitedListener struct {
	net.Listener
	slots  chan struct{}
	limits func() (head, idle time.Duration)
}

// NewLimitedListener wraps a listener. limits gives the time for a head and for an idle connection; 0 leaves the
// server's own.
func NewLimitedListener(listener net.Listener, slots int, limits func() (head, idle time.Duration)) *LimitedListener {
	return &LimitedListener{Listener: listener, slots: make(chan struct{}, max(slots, 1)), limits: limits}
}

// Accept waits for a place, then for a connection.
func (l *LimitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	accepted, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	connection := &clientConnection{Conn: accepted, release: sync.OnceFunc(func() { <-l.slots }), limits: l.limits}
	connection.unused.Store(true)
	return connection, nil
}

type clientConnection struct {
	net.Conn
	release     func()
	limits      func() (head, idle time.Duration)
	unused      atomic.Bool
	idle        atomic.Bool
	timedOut    atomic.Bool
	headStarted atomic.Bool
	handled     atomic.Bool
}

// Close answers 408 where a head began and didn't come whole in time.
func (c *clientConnection) Close() error {
	defer c.release()
	if c.timedOut.Load() && c.headStarted.Load() && !c.handled.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte(requestTimeoutResponse))
	}
	return c.Conn.Close()
}

// Read notes whether the time ran out and whether a request has begun.
func (c *clientConnection) Read(target []byte) (int, error) {
	amount, err := c.Conn.Read(target)
	c.timedOut.Store(errors.Is(err, os.ErrDeadlineExceeded))
	if amount > 0 && !c.headStarted.Swap(true) && c.unused.Swap(false) {
		c.setHeadDeadline()
	}
	return amount, err
}

// SetReadDeadline puts the limits of the configuration in the place of the server's own: the time for a head, or for
// an idle connection, which is never closed before the time stated. Deadlines in the past pass through.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.idle.Store(false)
		return c.Conn.SetReadDeadline(deadline)
	}
	now := time.Now()
	if !deadline.After(now) {
		return c.Conn.SetReadDeadline(deadline)
	}
	head, idle := c.limits()
	timeout := head
	if c.idle.Swap(false) || c.unused.Load() {
		timeout = idle
	}
	if timeout > 0 {
		deadline = now.Add(timeout)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// setHeadDeadline starts the time for the head when the first bytes of a new connection arrive; until then it is idle.
func (c *clientConnection) setHeadDeadline() {
	if head, _ := c.limits(); head > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(head))
	}
}

type connectionKey struct{}

// ConnContext is a server's ConnContext: it lets the handler find the connection of its request.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

func markHandled(ctx context.Context) {
	if connection, known := ctx.Value(connectionKey{}).(*clientConnection); known {
		connection.handled.Store(true)
	}
}

// ConnState is a server's ConnState: a connection between two requests is idle and starts afresh.
func ConnState(connection net.Conn, state http.ConnState) {
	if client, known := connection.(*clientConnection); known && state == http.StateIdle {
		client.idle.Store(true)
		client.timedOut.Store(false)
		client.headStarted.Store(false)
		client.handled.Store(false)
		_ = client.Conn.SetWriteDeadline(time.Time{})
	}
}

// CloseWrite lets the server end its side before the connection is closed.
func (c *clientConnection) CloseWrite() error {
	if half, known := c.Conn.(interface{ CloseWrite() error }); known {
		return half.CloseWrite()
	}
	return nil
}
