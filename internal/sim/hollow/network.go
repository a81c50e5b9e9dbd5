package hollow

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/peer"
)

// Network is the network of one node. It binds to the address of the node's host and counts the traffic. It implements
// peer.Network and is safe for concurrent use.
type Network struct {
	plan        Plan
	host        string
	counter     *Counter
	partitioned *atomic.Bool
	lock        sync.Mutex
	connections map[*connection]bool
	closed      bool
}

// NewNetwork returns the network of a host. partitioned holds whether the regions are partitioned.
func NewNetwork(plan Plan, host string, counter *Counter, partitioned *atomic.Bool) *Network {
	return &Network{plan: plan, host: host, counter: counter, partitioned: partitioned, connections: map[*connection]bool{}}
}

// crossesRegions reports whether the other host is in another region. Hosts without a region are never partitioned.
func (n *Network) crossesRegions(host string) bool {
	own, other := n.plan.regionOf(n.host), n.plan.regionOf(host)
	return own != "" && other != "" && own != other
}

// register registers a connection for CloseAll. If CloseAll has been called already, the connection is closed immediately.
func (n *Network) register(counted *connection) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.connections[counted] = true
	if n.closed {
		go counted.Close()
	}
}

// CloseAll closes all connections, as when a machine fails.
func (n *Network) CloseAll() {
	n.lock.Lock()
	n.closed = true
	var registered []*connection
	for counted := range n.connections {
		registered = append(registered, counted)
	}
	n.lock.Unlock()
	for _, counted := range registered {
		counted.Close()
	}
}

// DialFunc returns a function that dials from the address of the host. Across a partition it fails after connectTimeout.
func (n *Network) DialFunc(connectTimeout, writeTimeout time.Duration) peer.DialFunc {
	dialer := peer.NewDialer(connectTimeout, writeTimeout)
	dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.host)}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, _ := net.SplitHostPort(address)
		crosses := n.crossesRegions(host)
		if crosses && n.partitioned.Load() {
			bounded, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			<-bounded.Done()
			return nil, bounded.Err()
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		n.counter.dialed.Add(1)
		n.counter.outbound.Add(1)
		target := ""
		if strings.HasPrefix(host, n.plan.host(0, 1)[:len(n.plan.host(0, 1))-1]) {
			target = host
		}
		counted := &connection{
			Conn:           raw,
			network:        n,
			crossesRegions: crosses,
			writeTimeout:   writeTimeout,
			target:         target,
			open:           &n.counter.outbound,
		}
		n.register(counted)
		return counted, nil
	}
}

// Listen listens on the address and counts the connections accepted and their traffic.
func (n *Network) Listen(address string) (net.Listener, error) {
	listener, err := peer.HostNetwork{}.Listen(address)
	if err != nil {
		return nil, err
	}
	return &countedListener{listener, n}, nil
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	network *Network
}

// Accept accepts a connection and counts it.
func (l *countedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.network.counter.accepted.Add(1)
	l.network.counter.inbound.Add(1)
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	counted := &connection{
		Conn:           raw,
		network:        l.network,
		crossesRegions: l.network.crossesRegions(host),
		writeTimeout:   time.Minute,
		open:           &l.network.counter.inbound,
		isAccepted:     true,
	}
	l.network.register(counted)
	return counted, nil
}
