package replica

import (
	"net/http"
	"sync"
	"time"

	"ferryspar/internal/peer"
)

const (
	// maxIdlePerReplica is the maximum number of idle connections per replica.
	maxIdlePerReplica = 24
	// Transports unused for unusedTransportTimeout are evicted while there are more than maxTransports.
	unusedTransportTimeout = time.Minute
	maxTransports          = 64
)

// pooledTransport is the transport of one replica with the time of its last use.
type pooledTransport struct {
	transport *http.Transport
	lastUsed  time.Time
}

// transportPool holds one transport per replica. The key is the replica's id, so that a new replica at a reused address gets new
// connections.
type transportPool struct {
	network        peer.Network
	clock          func() time.Time
	connectTimeout time.Duration
	ackTimeout     time.Duration

	// lock guards transports.
	lock       sync.Mutex
	transports map[string]*pooledTransport
}

// transportFor returns the replica's transport, creating it if needed. maxIdle limits the idle connections of a new transport; 0
// selects maxIdlePerReplica.
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

// dropUnused evicts transports unused for unusedTransportTimeout, except that of the replica just added, while there are more
// than maxTransports. The caller holds the lock.
func (p *transportPool) dropUnused(added string, now time.Time) {
	for replicaID, pooled := range p.transports {
		if len(p.transports) > maxTransports && now.Sub(pooled.lastUsed) > unusedTransportTimeout && replicaID != added {
			delete(p.transports, replicaID)
		}
	}
}

// closeIdle closes the idle connections to the replica.
func (p *transportPool) closeIdle(replicaID string) {
	p.lock.Lock()
	pooled := p.transports[replicaID]
	p.lock.Unlock()
	if pooled != nil {
		pooled.transport.CloseIdleConnections()
	}
}
