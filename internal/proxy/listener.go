package proxy

import (
	"net"
	"sync"
	"time"
)

// ConnectionTimeouts are the configured timeouts for client connections; 0 leaves the server's own timeout in place.
type ConnectionTimeouts struct {
	// Head is how long a request header may take from its first byte.
	Head time.Duration
	// Idle is how long a connection without a request is kept open.
	Idle time.Duration
}

// LimitedListener limits the number of open client connections and applies the configured timeouts to them.
type LimitedListener struct {
	net.Listener
	slots    chan struct{}
	timeouts func() ConnectionTimeouts
}

// NewLimitedListener wraps a listener. slots is how many connections may be open at once, at least 1. timeouts returns the
// configured timeouts and must be safe for concurrent use.
func NewLimitedListener(listener net.Listener, slots int, timeouts func() ConnectionTimeouts) *LimitedListener {
	return &LimitedListener{
		Listener: listener,
		slots:    make(chan struct{}, max(slots, 1)),
		timeouts: timeouts,
	}
}

// Accept waits for a free slot, then for a connection.
func (l *LimitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	accepted, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	connection := &clientConnection{
		Conn:     accepted,
		release:  sync.OnceFunc(func() { <-l.slots }),
		timeouts: l.timeouts,
	}
	connection.unused.Store(true)
	return connection, nil
}
