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

// Network is the network of one daemon, bound to its host's address and counted. It implements
// peer.Network; any goroutine may use it.
type Network struct {
	plan        Plan
	host        string
	counter     *Counter
	cut         *atomic.Bool
	lock        sync.Mutex
	connections map[*connection]bool
	closed      bool
}

// NewNetwork makes the network of a host; cut tells whether the regions are partitioned.
func NewNetwork(plan Plan, host string, counter *Counter, cut *atomic.Bool) *Network {
	return &Network{plan: plan, host: host, counter: counter, cut: cut, connections: map[*connection]bool{}}
}

// crossesRegions tells whether the other host is in another region; hosts without one are never cut
// off.
func (n *Network) crossesRegions(host string) bool {
	own, other := n.plan.regionOf(n.host), n.plan.regionOf(host)
	return own != "" && other != "" && own != other
}

// register remembers a connection for CloseAll; after that it is closed at once.
func (n *Network) register(one *connection) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.connections[one] = true
	if n.closed {
		go one.Close()
	}
}

// CloseAll closes all connections, as a machine's end does.
func (n *Network) CloseAll() {
	n.lock.Lock()
	n.closed = true
	var broken []*connection
	for one := range n.connections {
		broken = append(broken, one)
	}
	n.lock.Unlock()
	for _, one := range broken {
		one.Close()
	}
}

// DialFunc returns a function that dials from the host's address; across a partition it runs into the
// bound.
func (n *Network) DialFunc(connectBound, silence time.Duration) peer.DialFunc {
	dialer := peer.NewDialer(connectBound, silence)
	dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.host)}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, _ := net.SplitHostPort(address)
		severed := n.crossesRegions(host)
		if severed && n.cut.Load() {
			bounded, cancel := context.WithTimeout(ctx, connectBound)
			defer cancel()
			<-bounded.Done()
			return nil, bounded.Err()
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		n.counter.dialed.Add(1)
		n.counter.outside.Add(1)
		target := ""
		if strings.HasPrefix(host, n.plan.host(0, 1)[:len(n.plan.host(0, 1))-1]) {
			target = host
		}
		one := &connection{
			Conn:           raw,
			network:        n,
			crossesRegions: severed,
			silence:        silence,
			target:         target,
			open:           &n.counter.outside,
		}
		n.register(one)
		return one, nil
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
	l.network.counter.inside.Add(1)
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	one := &connection{
		Conn:           raw,
		network:        l.network,
		crossesRegions: l.network.crossesRegions(host),
		silence:        time.Minute,
		open:           &l.network.counter.inside,
		heard:          true,
	}
	l.network.register(one)
	return one, nil
}
