package integration

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
)

// memoryMachine implements peer.Network for one host.
type memoryMachine struct {
	network *memoryNetwork
	host    string
}

func (m *memoryMachine) Listen(address string) (net.Listener, error) {
	m.network.lock.Lock()
	defer m.network.lock.Unlock()
	if m.network.listeners[address] != nil {
		return nil, errors.Errorf("%s is taken", address)
	}
	listener := &memoryListener{
		network:  m.network,
		address:  address,
		accepted: make(chan net.Conn, 64),
		closed:   make(chan struct{}),
	}
	m.network.listeners[address] = listener
	return listener, nil
}

func (m *memoryMachine) DialFunc(connectTimeout, writeTimeout time.Duration) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		bounded, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		host, _, _ := net.SplitHostPort(address)
		time.Sleep(time.Millisecond)
		m.network.waitThawed(m.host)
		if m.network.isBlocked(m.host, host) || m.network.isUnreachable(m.host, host) {
			<-bounded.Done()
			return nil, bounded.Err()
		}
		m.network.lock.Lock()
		listener := m.network.listeners[address]
		m.network.lock.Unlock()
		if listener == nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		near, far := net.Pipe()
		left := &memoryConnection{Conn: near, network: m.network, from: m.host, to: host, writeTimeout: writeTimeout}
		right := &memoryConnection{Conn: far, network: m.network, from: host, to: m.host, writeTimeout: time.Minute}
		m.network.lock.Lock()
		m.network.dialCounts[host]++
		m.network.connections[left], m.network.connections[right] = true, true
		m.network.lock.Unlock()
		select {
		case listener.accepted <- right:
			return left, nil
		case <-bounded.Done():
			return nil, bounded.Err()
		}
	}
}

// memoryListener is a listening socket of a machine.
type memoryListener struct {
	network  *memoryNetwork
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		l.network.waitThawed(hostOf(l.address))
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.lock.Lock()
		delete(l.network.listeners, l.address)
		l.network.lock.Unlock()
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }

func (a memoryAddress) String() string { return string(a) }
