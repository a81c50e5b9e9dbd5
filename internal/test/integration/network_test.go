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

type memoryNetwork struct {
	lock        sync.Mutex
	listeners   map[string]*memoryListener
	dark        map[string]bool
	cuts        map[[2]string]bool
	connections map[*memoryConnection]bool
	drops       map[string]time.Duration
	dials       map[string]int
	frozen      map[string]chan struct{}
	holds       map[[2]string]bool
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners:   map[string]*memoryListener{},
		dark:        map[string]bool{},
		cuts:        map[[2]string]bool{},
		connections: map[*memoryConnection]bool{},
		drops:       map[string]time.Duration{},
		dials:       map[string]int{},
		frozen:      map[string]chan struct{}{},
		holds:       map[[2]string]bool{},
	}
}

func (n *memoryNetwork) machine(host string) peer.Network { return &memoryMachine{n, host} }

type memoryMachine struct {
	network *memoryNetwork
	host    string
}

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

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }
func (a memoryAddress) String() string  { return string(a) }

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

func (m *memoryMachine) Listen(address string) (net.Listener, error) {
	m.network.lock.Lock()
	defer m.network.lock.Unlock()
	if m.network.listeners[address] != nil {
		return nil, errors.Errorf("%s is taken", address)
	}
	listener := &memoryListener{network: m.network, address: address, accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	m.network.listeners[address] = listener
	return listener, nil
}

func (n *memoryNetwork) blocked(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.dark[from] || n.dark[to] || n.cuts[[2]string{from, to}]
}

func (m *memoryMachine) DialFunc(connectBound, silence time.Duration) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		bounded, cancel := context.WithTimeout(ctx, connectBound)
		defer cancel()
		host, _, _ := net.SplitHostPort(address)
		time.Sleep(time.Millisecond)
		m.network.waitThawed(m.host)
		if m.network.blocked(m.host, host) || m.network.unreachable(m.host, host) {
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
		left := &memoryConnection{Conn: near, network: m.network, from: m.host, to: host, silence: silence}
		right := &memoryConnection{Conn: far, network: m.network, from: host, to: m.host, silence: time.Minute}
		m.network.lock.Lock()
		m.network.dials[host]++
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

type memoryConnection struct {
	net.Conn
	network *memoryNetwork
	from    string
	to      string
	silence time.Duration
	used    time.Time
	buffer  socketBuffer
}

func (s *memoryConnection) Write(content []byte) (int, error) {
	waited := time.Duration(0)
	for s.network.blocked(s.from, s.to) {
		time.Sleep(20 * time.Millisecond)
		if waited += 20 * time.Millisecond; waited > s.silence {
			s.Close()
			return 0, syscall.ETIMEDOUT
		}
	}
	if s.dropped() {
		s.Close()
		return len(content), nil
	}
	s.network.waitThawed(s.from)
	if held, err := s.hold(content); held || err != nil {
		return len(content), err
	}
	return s.Conn.Write(content)
}

func (s *memoryConnection) dropped() bool {
	s.network.lock.Lock()
	defer s.network.lock.Unlock()
	bound, idle := s.network.drops[s.to], time.Since(s.used)
	dropped := bound > 0 && !s.used.IsZero() && idle > bound
	s.used = time.Now()
	return dropped
}

func (n *memoryNetwork) dialed(host string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.dials[host]
}

func (n *memoryNetwork) dropSilently(host string, bound time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.drops[host] = bound
}

func (n *memoryNetwork) breakConnections(host string) {
	n.lock.Lock()
	var broken []*memoryConnection
	for connection := range n.connections {
		if connection.from == host || connection.to == host {
			broken = append(broken, connection)
		}
	}
	n.lock.Unlock()
	for _, connection := range broken {
		_ = connection.reset()
	}
}

func (s *memoryConnection) Close() error {
	if s.closeAfterDelivery() {
		return nil
	}
	return s.reset()
}

func (s *memoryConnection) reset() error {
	s.discard()
	s.network.lock.Lock()
	delete(s.network.connections, s)
	s.network.lock.Unlock()
	return s.Conn.Close()
}

func (n *memoryNetwork) resetAll(host string) {
	n.lock.Lock()
	var closed []*memoryListener
	for address, listener := range n.listeners {
		if name, _, _ := net.SplitHostPort(address); name == host {
			closed = append(closed, listener)
		}
	}
	n.lock.Unlock()
	for _, listener := range closed {
		listener.Close()
	}
	n.breakConnections(host)
}

func (n *memoryNetwork) partition(left, right string, cut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cuts[[2]string{left, right}] = cut
	n.cuts[[2]string{right, left}] = cut
}

func (n *memoryNetwork) blackhole(host string, dark bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.dark[host] = dark
}
