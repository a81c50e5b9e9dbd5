package linearizability_test

import (
	"sync"
	"time"

	"ferryspar/internal/keystore"
)

// acknowledgement is a version that was acknowledged to an operator, and the time of the reply.
type acknowledgement struct {
	version uint64
	at      time.Duration
}

// acknowledgements holds the acknowledged versions of each key.
type acknowledgements struct {
	lock  *sync.Mutex
	byKey map[string][]acknowledgement
}

func newAcknowledgements() acknowledgements {
	return acknowledgements{lock: &sync.Mutex{}, byKey: map[string][]acknowledgement{}}
}

func (a acknowledgements) configuration(revision int64, at time.Duration) {
	a.add(keystore.ConfigurationKey, uint64(revision), at)
}

func (a acknowledgements) zone(zone string, version uint64, at time.Duration) {
	a.add(keystore.ZonePrefix+zone, version, at)
}

func (a acknowledgements) add(key string, version uint64, at time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.byKey[key] = append(a.byKey[key], acknowledgement{version: version, at: at})
}

// highestBefore returns the highest version of a key that was acknowledged to an operator before a time.
func (a acknowledgements) highestBefore(key string, until time.Duration) uint64 {
	a.lock.Lock()
	defer a.lock.Unlock()
	highest := uint64(0)
	for _, acknowledged := range a.byKey[key] {
		if acknowledged.at < until {
			highest = max(highest, acknowledged.version)
		}
	}
	return highest
}
