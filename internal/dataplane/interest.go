package dataplane

import (
	"sort"
	"sync"
	"time"

	"ferryspar/internal/peer"
)

// Interest tells which models requests have asked for lately, and so which parts to follow. Any
// goroutine may use it.
type Interest struct {
	lock        sync.Mutex
	clock       func() time.Time
	requestedAt map[peer.EndpointKey]time.Time
	// fresh are the models newly asked for.
	added []peer.EndpointKey
	// wake is signalled when there are some.
	wake chan struct{}
}

const (
	// interestTimeout is how long a model is followed after the last request for it.
	interestTimeout = 40 * time.Second
	// maxInterest is how many models are followed at most.
	maxInterest = 512
)

// NewInterest is interested in nothing yet.
func NewInterest(clock func() time.Time) *Interest {
	return &Interest{clock: clock, requestedAt: map[peer.EndpointKey]time.Time{}, wake: make(chan struct{}, 1)}
}

// Want notes a request for a model.
func (i *Interest) RecordRequest(backend, model string) {
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

// Take is what to follow in addition since the last call, and what to let go; without anything to
// add, nothing is let go either.
func (i *Interest) TakeChanges() (add, drop []peer.EndpointKey) {
	i.lock.Lock()
	defer i.lock.Unlock()
	add, i.added = i.added, nil
	if len(add) == 0 {
		return nil, nil
	}
	return add, i.dropExpired()
}

// Whole is everything to follow, in order.
func (i *Interest) All() []peer.EndpointKey {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.added = nil
	i.dropExpired()
	names := make([]peer.EndpointKey, 0, len(i.requestedAt))
	for name := range i.requestedAt {
		names = append(names, name)
	}
	sort.Slice(names, func(left, right int) bool {
		return names[left].Backend+names[left].Model < names[right].Backend+names[right].Model
	})
	return names
}

// dropExpired lets go of models not asked for lately and of those beyond the bound, and returns them.
// The caller holds the lock.
func (i *Interest) dropExpired() []peer.EndpointKey {
	now := i.clock()
	var dropped []peer.EndpointKey
	for name, at := range i.requestedAt {
		if now.Sub(at) > interestTimeout {
			dropped = append(dropped, name)
		}
	}
	if excess := len(i.requestedAt) - len(dropped) - maxInterest; excess > 0 {
		dropped = append(dropped, i.leastRecentlyRequested(excess, dropped)...)
	}
	for _, name := range dropped {
		delete(i.requestedAt, name)
	}
	return dropped
}

// leastRecentlyRequested are the models asked for longest ago. The caller holds the lock.
func (i *Interest) leastRecentlyRequested(amount int, excluded []peer.EndpointKey) []peer.EndpointKey {
	skipped := map[peer.EndpointKey]bool{}
	for _, name := range excluded {
		skipped[name] = true
	}
	names := make([]peer.EndpointKey, 0, len(i.requestedAt))
	for name := range i.requestedAt {
		if !skipped[name] {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(left, right int) bool { return i.requestedAt[names[left]].Before(i.requestedAt[names[right]]) })
	return names[:min(amount, len(names))]
}
