package dataplane

import (
	"slices"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/peer"
)

const (
	// interestTimeout is how long a model stays subscribed to after the last request for it.
	interestTimeout = 40 * time.Second
	// maxInterest is the maximum number of models subscribed to.
	maxInterest = 512
)

// modelInterest tracks recently requested models, which determine the endpoints to subscribe to. It is safe for concurrent use.
type modelInterest struct {
	clock func() time.Time
	// wake is signalled when a model is added.
	wake chan struct{}

	// lock guards the fields below.
	lock        sync.Mutex
	requestedAt map[peer.EndpointKey]time.Time
	// added holds the models added since the last call of takeChanges or all.
	added []peer.EndpointKey
}

// newModelInterest returns an empty modelInterest.
func newModelInterest(clock func() time.Time) *modelInterest {
	return &modelInterest{
		clock:       clock,
		wake:        make(chan struct{}, 1),
		requestedAt: map[peer.EndpointKey]time.Time{},
	}
}

// recordRequest records a request for a model of a backend.
func (i *modelInterest) recordRequest(backend, model string) {
	name := peer.EndpointKey{Backend: backend, Model: model}
	i.lock.Lock()
	_, known := i.requestedAt[name]
	i.requestedAt[name] = i.clock()
	if !known {
		i.added = append(i.added, name)
	}
	i.lock.Unlock()
	if known {
		return
	}
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// takeChanges returns the models to subscribe to since the last call, and those to unsubscribe from. If there is nothing to add,
// nothing is dropped either.
func (i *modelInterest) takeChanges() (add, drop []peer.EndpointKey) {
	i.lock.Lock()
	defer i.lock.Unlock()
	add, i.added = i.added, nil
	if len(add) == 0 {
		return nil, nil
	}
	return add, i.dropExpired()
}

// all returns all models to subscribe to, ordered by name.
func (i *modelInterest) all() []peer.EndpointKey {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.added = nil
	i.dropExpired()
	names := make([]peer.EndpointKey, 0, len(i.requestedAt))
	for name := range i.requestedAt {
		names = append(names, name)
	}
	slices.SortFunc(names, func(left, right peer.EndpointKey) int {
		return strings.Compare(left.Backend+left.Model, right.Backend+right.Model)
	})
	return names
}

// dropExpired removes and returns the models not requested within interestTimeout, and the least recently requested ones beyond
// maxInterest. The caller holds the lock.
func (i *modelInterest) dropExpired() []peer.EndpointKey {
	now := i.clock()
	var dropped []peer.EndpointKey
	for name, at := range i.requestedAt {
		if now.Sub(at) > interestTimeout {
			dropped = append(dropped, name)
			delete(i.requestedAt, name)
		}
	}
	excess := max(len(i.requestedAt)-maxInterest, 0)
	for _, name := range i.leastRecentlyRequested(excess) {
		dropped = append(dropped, name)
		delete(i.requestedAt, name)
	}
	return dropped
}

// leastRecentlyRequested returns the count least recently requested models. The caller holds the lock.
func (i *modelInterest) leastRecentlyRequested(count int) []peer.EndpointKey {
	if count == 0 {
		return nil
	}
	names := make([]peer.EndpointKey, 0, len(i.requestedAt))
	for name := range i.requestedAt {
		names = append(names, name)
	}
	slices.SortFunc(names, func(left, right peer.EndpointKey) int {
		return i.requestedAt[left].Compare(i.requestedAt[right])
	})
	return names[:count]
}
