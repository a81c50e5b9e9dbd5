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

// Network is the network of one node, bound to its host's address and counted. It implements
// peer.Network; any goroutine may use it.
type Network struct {
	plan        Plan
	host        string
	counter     *Counter
	partitioned *atomic.Bool
	lock        sync.Mutex
	connections map[*connection]bool
	closed      bool
}

// NewNetwork makes the network of a host; cut reports whether the regions are partitioned.
func NewNetwork(plan Plan, host string, counter *Counter, cut *atomic.Bool) *Network {
	return &Network{plan: plan, host: host, counter: counter, partitioned: cut, connections: map[*connection]bool{}}
}

// crossesRegions reports whether the other host is in another region; hosts without one are never partitioned
// off.
func (n *Network) crossesRegions(host string) bool {
	own, other := n.plan.regionOf(n.host), n.plan.regionOf(host)
	return own != "" && other != "" && own != other
}

// register remembers a connection for CloseAll; after that it is closed at once.
func (n *Network) register(counted *connection) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.connections[counted] = true
	if n.closed {
		go counted.Close()
	}
}

// CloseAll closes all connections, as a machine's end does.
func (n *Network) CloseAll() {
	n.lock.Lock()
	n.closed = true
	var broken []*connection
	for counted := range n.connections {
		broken = append(broken, counted)
	}
	n.lock.Unlock()
	for _, counted := range broken {
		counted.Close()
	}
}

// DialFunc returns a function that dials from the host's address; across a partition it runs into the
// bound.
func (n *Network) DialFunc(connectTimeout, writeTimeout time.Duration) peer.DialFunc {
	dialer := peer.NewDialer(connectTimeout, writeTimeout)
	dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.host)}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, _ := net.SplitHostPort(address)
		severed := n.crossesRegions(host)
		if severed && n.partitioned.Load() {
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
			crossesRegions: severed,
			writeTimeout:   writeTimeout,
			target:         target,
			open:           &n.counter.outbound,
		}
		n.register(counted)
		return counted, nil
	}
}

// Listen listens on the address and counts what it accepts.
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

// Accept accepts a counted connection.
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
