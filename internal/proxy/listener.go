package proxy

import (
	"net"
	"sync"
	"time"
)

// ConnectionTimeouts are the configuration's timeouts for a client's connection; 0 leaves the server's own in place.
type ConnectionTimeouts struct {
	// Head is how long the head of a request may take from its first byte.
	Head time.Duration
	// Idle is how long a connection between two requests is kept.
	Idle time.Duration
}

// LimitedListener accepts a limited number of clients' connections and applies the timeouts of the configuration to them.
type LimitedListener struct {
	net.Listener
	slots    chan struct{}
	timeouts func() ConnectionTimeouts
}

// NewLimitedListener wraps a listener. slots is how many connections may be open at once, 1 at least; timeouts gives the
// present timeouts and may be called by any goroutine.
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
