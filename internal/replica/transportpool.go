package replica

import (
	"net/http"
	"sync"
	"time"

	"ferryspar/internal/peer"
)

const (
	// maxIdlePerReplica is how many idle connections are kept to a replica.
	maxIdlePerReplica = 24
	// unusedTransportTimeout is how long after its last use a transport may be dropped, once there are more than
	// maxTransports.
	unusedTransportTimeout = time.Minute
	maxTransports          = 64
)

// pooledTransport is the transport of one replica and when it was last used.
type pooledTransport struct {
	transport *http.Transport
	lastUsed  time.Time
}

// transportPool holds a transport for each replica, by its id: a new replica at an old address gets new connections.
type transportPool struct {
	network        peer.Network
	clock          func() time.Time
	connectTimeout time.Duration
	ackTimeout     time.Duration

	// lock guards transports.
	lock       sync.Mutex
	transports map[string]*pooledTransport
}

// transportFor returns the replica's transport. maxIdle limits the idle connections of a new one; 0 leaves it to the pool.
func (p *transportPool) transportFor(replicaID string, maxIdle int) *http.Transport {
	now := p.clock()
	p.lock.Lock()
	defer p.lock.Unlock()
	pooled := p.transports[replicaID]
	if pooled == nil {
		pooled = &pooledTransport{transport: p.newTransport(maxIdle)}
		p.transports[replicaID] = pooled
		p.dropUnused(replicaID, now)
	}
	pooled.lastUsed = now
	return pooled.transport
}

func (p *transportPool) newTransport(maxIdle int) *http.Transport {
	if maxIdle <= 0 || maxIdle > maxIdlePerReplica {
		maxIdle = maxIdlePerReplica
	}
	transport := peer.NewTransport(p.network, p.connectTimeout, p.ackTimeout, maxIdle)
	transport.IdleConnTimeout = maxIdleTime
	transport.DialContext = countConnections(transport.DialContext)
	return transport
}

// dropUnused drops transports of other replicas than the one just added that have not been used lately, while there are too
// many. The caller holds the lock.
func (p *transportPool) dropUnused(added string, now time.Time) {
	for replicaID, pooled := range p.transports {
		if len(p.transports) > maxTransports && now.Sub(pooled.lastUsed) > unusedTransportTimeout && replicaID != added {
			delete(p.transports, replicaID)
		}
	}
}

// closeIdle closes the connections to the replica that carry nothing at the moment.
func (p *transportPool) closeIdle(replicaID string) {
	p.lock.Lock()
	pooled := p.transports[replicaID]
	p.lock.Unlock()
	if pooled != nil {
		pooled.transport.CloseIdleConnections()
	}
}
