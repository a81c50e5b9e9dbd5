package integration

import (
	"net"
	"sync"
	"time"

	"ferryspar/internal/peer"
)

// memoryNetwork connects machines by in-memory pipes and injects network faults. A pair of hosts is a directed path.
type memoryNetwork struct {
	lock          sync.Mutex
	listeners     map[string]*memoryListener
	blackholed    map[string]bool
	partitions    map[[2]string]bool
	connections   map[*memoryConnection]bool
	idleDropAfter map[string]time.Duration
	dialCounts    map[string]int
	frozen        map[string]chan struct{}
	delayed       map[[2]string]bool
	processors    map[string]*processor
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners:     map[string]*memoryListener{},
		blackholed:    map[string]bool{},
		partitions:    map[[2]string]bool{},
		connections:   map[*memoryConnection]bool{},
		idleDropAfter: map[string]time.Duration{},
		dialCounts:    map[string]int{},
		frozen:        map[string]chan struct{}{},
		delayed:       map[[2]string]bool{},
		processors:    map[string]*processor{},
	}
}

// machine returns the network as seen from one host.
func (n *memoryNetwork) machine(host string) peer.Network { return &memoryMachine{n, host} }

func (n *memoryNetwork) isBlocked(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.blackholed[from] || n.blackholed[to] || n.partitions[[2]string{from, to}]
}

func (n *memoryNetwork) dialCount(host string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.dialCounts[host]
}

// dropIdleConnections silently drops connections to a machine that were idle for longer than this, as a firewall does.
func (n *memoryNetwork) dropIdleConnections(host string, idle time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.idleDropAfter[host] = idle
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

// resetHost closes the listeners of a machine and resets its connections.
func (n *memoryNetwork) resetHost(host string) {
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

// partition blocks both directions between two machines: writers wait, and nothing is buffered.
func (n *memoryNetwork) partition(left, right string, partitioned bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.partitions[[2]string{left, right}] = partitioned
	n.partitions[[2]string{right, left}] = partitioned
}

// blackhole makes a machine unreachable, as a loss of power does for its peers: nothing is answered.
func (n *memoryNetwork) blackhole(host string, on bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.blackholed[host] = on
}

// networkPoll is the interval at which a waiting connection checks whether it may continue.
const networkPoll = 10 * time.Millisecond

// freeze stops a machine as SIGSTOP would: it reads and writes nothing, and bytes for it wait in its sockets.
// Its timers keep running, because the fake clock cannot stop single goroutines.
func (n *memoryNetwork) freeze(host string, frozen bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if thawed, known := n.frozen[host]; known {
		close(thawed)
		delete(n.frozen, host)
	}
	if frozen {
		n.frozen[host] = make(chan struct{})
	}
}

// delay blocks the path from one machine to another; bytes wait for the heal unless the sender resets.
func (n *memoryNetwork) delay(from, to string, delayed bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.delayed[[2]string{from, to}] = delayed
}

func (n *memoryNetwork) delayBoth(left, right string, delayed bool) {
	n.delay(left, right, delayed)
	n.delay(right, left, delayed)
}

func (n *memoryNetwork) healAll() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, thawed := range n.frozen {
		close(thawed)
	}
	clear(n.frozen)
	clear(n.delayed)
	clear(n.partitions)
	clear(n.blackholed)
}

func (n *memoryNetwork) isFrozen(host string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.frozen[host] != nil
}

func (n *memoryNetwork) waitThawed(host string) {
	n.lock.Lock()
	thawed := n.frozen[host]
	n.lock.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// isUnreachable reports whether a new connection cannot be established: its handshake needs both directions.
// The kernel of a frozen machine still completes handshakes.
func (n *memoryNetwork) isUnreachable(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	there, back := [2]string{from, to}, [2]string{to, from}
	return n.delayed[there] || n.delayed[back] || n.partitions[back]
}

func (n *memoryNetwork) isDelayed(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.delayed[[2]string{from, to}]
}
