package linearizability_test

import (
	"sync"
	"time"

	"ferryspar/internal/keystore"
)

// acknowledgement is a number that an operator was told of, and when.
type acknowledgement struct {
	version uint64
	at      time.Duration
}

// acknowledgements keeps, for each key, what operators were told.
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

func (a acknowledgements) zone(zone string, number uint64, at time.Duration) {
	a.add(keystore.ZonePrefix+zone, number, at)
}

func (a acknowledgements) add(key string, number uint64, at time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.byKey[key] = append(a.byKey[key], acknowledgement{number, at})
}

// before is the highest number of a key that an operator was told before a time.
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
