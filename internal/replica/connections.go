package replica

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
)

const (
	maxIdlePerReplica      = 24
	maxIdleTime            = 3 * time.Second
	nonIdempotentIdleTime  = 2 * time.Second
	minIdleTime            = 150 * time.Millisecond
	deathIdleShare         = 0.7
	relearnInterval        = 20 * time.Second
	keepAliveShare         = 0.75
	unusedTransportTimeout = time.Minute
	maxTransports          = 64
)

var errRetired = errors.New("connection retired: idle for too long, or used by this request before")

// countedConnection counts the bytes of a connection to a replica and refuses to write once it is retired.
type countedConnection struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	retired atomic.Bool

	lock     sync.Mutex
	attempts []string
}

// maxRememberedAttempts is how many attempts a connection remembers: a second answer to one of them may still be on its way.
const maxRememberedAttempts = 16

// carry notes an attempt and tells whether the connection carried any, and this one, before.
func (c *countedConnection) recordAttempt(attempt string) (any, this bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	any, this = len(c.attempts) > 0, slices.Contains(c.attempts, attempt)
	if len(c.attempts) >= maxRememberedAttempts {
		c.attempts = slices.Delete(c.attempts, 0, 1)
	}
	c.attempts = append(c.attempts, attempt)
	return any, this
}

// abandon lets nothing more be written and closes the connection.
func (c *countedConnection) abandon() {
	c.retired.Store(true)
	_ = c.Conn.Close()
}

// Write counts the bytes before it looks at retired: whoever retires a connection and then finds nothing counted
// can be sure that nothing is written afterwards.
func (c *countedConnection) Write(content []byte) (int, error) {
	c.written.Add(int64(len(content)))
	if c.retired.Load() {
		c.written.Add(-int64(len(content)))
		return 0, errRetired
	}
	amount, err := c.Conn.Write(content)
	c.written.Add(int64(amount - len(content)))
	return amount, err
}

// Read counts what arrives.
func (c *countedConnection) Read(target []byte) (int, error) {
	amount, err := c.Conn.Read(target)
	c.read.Add(int64(amount))
	return amount, err
}

// pooledTransport is the transport of one replica and when it was last used.
type pooledTransport struct {
	transport *http.Transport
	lastUsed  time.Time
}

// estimateFor is what a service taught about how long its replicas keep idle connections.
type idleEstimate struct {
	maxIdle    time.Duration
	learnedAt  time.Time
	advertised time.Duration
}

// transportPool holds a transport for each replica, by identity: a new replica at an old address gets new connections.
type transportPool struct {
	lock           sync.Mutex
	transports     map[string]*pooledTransport
	idleEstimates  map[string]*idleEstimate
	connectTimeout time.Duration
	ackTimeout     time.Duration
	clock          func() time.Time
	network        peer.Network
}

func (p *transportPool) transportFor(identity string, share int) *http.Transport {
	now := p.clock()
	p.lock.Lock()
	defer p.lock.Unlock()
	pooled := p.transports[identity]
	if pooled == nil {
		if share <= 0 || share > maxIdlePerReplica {
			share = maxIdlePerReplica
		}
		pooled = &pooledTransport{transport: peer.NewTransport(p.network, p.connectTimeout, p.ackTimeout, share)}
		pooled.transport.IdleConnTimeout = maxIdleTime
		dial := pooled.transport.DialContext
		pooled.transport.DialContext = func(ctx context.Context, name, address string) (net.Conn, error) {
			connection, err := dial(ctx, name, address)
			if err != nil {
				return nil, err
			}
			return &countedConnection{Conn: connection}, nil
		}
		p.transports[identity] = pooled
		for other, unused := range p.transports {
			if len(p.transports) > maxTransports && now.Sub(unused.lastUsed) > unusedTransportTimeout && other != identity {
				delete(p.transports, other)
			}
		}
	}
	pooled.lastUsed = now
	return pooled.transport
}

// CloseIdle closes the connections to the replica that carry nothing at the moment.
func (p *transportPool) CloseIdle(identity string) {
	p.lock.Lock()
	pooled := p.transports[identity]
	p.lock.Unlock()
	if pooled != nil {
		pooled.transport.CloseIdleConnections()
	}
}

func (p *transportPool) estimateFor(service string) *idleEstimate {
	if p.idleEstimates[service] == nil {
		p.idleEstimates[service] = &idleEstimate{maxIdle: maxIdleTime}
	}
	return p.idleEstimates[service]
}

func (p *transportPool) maxIdleFor(service string, nonIdempotent bool) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	learned := p.estimateFor(service)
	now := p.clock()
	if learned.maxIdle < maxIdleTime && now.Sub(learned.learnedAt) > relearnInterval {
		learned.maxIdle, learned.learnedAt = min(2*learned.maxIdle, maxIdleTime), now
	}
	maxIdle := learned.maxIdle
	if learned.advertised > 0 {
		maxIdle = min(maxIdle, learned.advertised)
	}
	if nonIdempotent {
		return min(nonIdempotentIdleTime, maxIdle)
	}
	return maxIdle
}

func (p *transportPool) recordIdleDeath(service string, idle time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	learned := p.estimateFor(service)
	learned.maxIdle = max(min(learned.maxIdle, time.Duration(deathIdleShare*float64(idle))), minIdleTime)
	learned.learnedAt = p.clock()
}

func (p *transportPool) recordKeepAlive(service string, stated time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.estimateFor(service).advertised = time.Duration(keepAliveShare * float64(stated))
}
