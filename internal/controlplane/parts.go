package controlplane

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// endpointSet is the replicas that hold one model of a backend; the empty model stands for all of the
// backend's replicas.
type endpointSet struct {
	// version is the roster's version in which the part last changed.
	version   uint64
	endpoints map[string]*endpointSource
	// chooseSample is what followers are told instead of all holders, or nil.
	sample map[string]*endpointSource
}

// EndpointPublisher cuts the roster into parts, so that data planes follow just the models they are asked for.
// Any goroutine may use it.
type EndpointPublisher struct {
	lock     sync.Mutex
	version  uint64
	replicas map[string]*endpointSource
	sets     map[peer.EndpointKey]*endpointSet
	// followers are the followings by part.
	subscribers map[peer.EndpointKey]map[*subscription]bool
	// followings are by data plane.
	subscriptions map[string]*subscription
}

// NewEndpointPublisher is an empty roster.
func NewEndpointPublisher() *EndpointPublisher {
	return &EndpointPublisher{
		replicas:      map[string]*endpointSource{},
		sets:          map[peer.EndpointKey]*endpointSet{},
		subscribers:   map[peer.EndpointKey]map[*subscription]bool{},
		subscriptions: map[string]*subscription{},
	}
}

// Publish adopts a roster as of a moment and wakes the followers of parts that changed. Barred
// holds "replica reference" of what must no longer be used.
func (p *EndpointPublisher) Publish(replicas []discovery.Replica, cordoned []string, at time.Time) {
	cordonedOf := map[string]map[string]bool{}
	for _, entry := range cordoned {
		id, reference, _ := strings.Cut(entry, " ")
		if cordonedOf[id] == nil {
			cordonedOf[id] = map[string]bool{}
		}
		cordonedOf[id][reference] = true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	changed := map[peer.EndpointKey]bool{}
	present := make(map[string]bool, len(replicas))
	for index := range replicas {
		listed := replicas[index]
		present[listed.ID] = true
		p.update(listed, cordonedOf[listed.ID], at, changed)
	}
	for id, held := range p.replicas {
		if !present[id] {
			p.remove(held, changed)
			delete(p.replicas, id)
		}
	}
	p.resample(changed)
	if len(changed) == 0 {
		return
	}
	p.version++
	for name := range changed {
		if held := p.sets[name]; held != nil {
			held.version = p.version
		}
		for entry := range p.subscribers[name] {
			entry.notify()
		}
	}
}

// adopt adopts a replica's entry and adds the parts that it changes to touched.
func (p *EndpointPublisher) update(
	listed discovery.Replica,
	cordoned map[string]bool,
	at time.Time,
	changed map[peer.EndpointKey]bool,
) {
	warmUpUntil := time.Time{}
	if listed.WarmUpRemainingMs > 0 {
		warmUpUntil = at.Add(time.Duration(listed.WarmUpRemainingMs * float64(time.Millisecond)))
	}
	previous := p.replicas[listed.ID]
	if previous != nil && len(cordoned) == 0 && previous.isFullyUsable() && previous.sameListing(listed, warmUpUntil) {
		return
	}
	next := &endpointSource{
		listed:      listed,
		warmUpUntil: warmUpUntil,
		usable:      usableModels(listed, cordoned),
	}
	all := previous == nil || !sameReplica(previous.listed, listed) || !closeTimes(previous.warmUpUntil, warmUpUntil)
	if previous != nil && !all && sameUsable(previous.usable, next.usable) {
		previous.listed = listed
		return
	}
	if previous != nil {
		p.removeFromChanged(previous, next, all, changed)
	}
	p.addToChanged(previous, next, all, changed)
	p.replicas[listed.ID] = next
}

// removeFromChanged takes the replica out of the parts in which it changes or no longer stands; whole
// says that all of them change.
func (p *EndpointPublisher) removeFromChanged(previous, next *endpointSource, all bool, changed map[peer.EndpointKey]bool) {
	for model, adapters := range previous.usable {
		if other, stays := next.usable[model]; all || !stays || !slices.Equal(adapters, other) {
			key := peer.EndpointKey{Backend: previous.listed.Backend, Model: model}
			p.setEndpoint(key, previous.listed.ID, nil, changed)
		}
	}
}

// addToChanged puts the replica into its parts; those in which nothing changes are not touched.
func (p *EndpointPublisher) addToChanged(previous, next *endpointSource, all bool, changed map[peer.EndpointKey]bool) {
	id := next.listed.ID
	for model, adapters := range next.usable {
		key := peer.EndpointKey{Backend: next.listed.Backend, Model: model}
		before, known := []string(nil), false
		if previous != nil {
			before, known = previous.usable[model]
		}
		if all || !known || !slices.Equal(adapters, before) {
			p.setEndpoint(key, id, next, changed)
		} else {
			p.sets[key].endpoints[id] = next
		}
	}
}

// remove takes a replica that is gone out of its parts.
func (p *EndpointPublisher) remove(replica *endpointSource, changed map[peer.EndpointKey]bool) {
	for model := range replica.usable {
		p.setEndpoint(peer.EndpointKey{Backend: replica.listed.Backend, Model: model}, replica.listed.ID, nil, changed)
	}
}

// setEndpoint puts a replica into a part or, if holder is nil, takes it out.
func (p *EndpointPublisher) setEndpoint(key peer.EndpointKey, id string, replica *endpointSource, changed map[peer.EndpointKey]bool) {
	set := p.sets[key]
	if set == nil {
		set = &endpointSet{endpoints: map[string]*endpointSource{}}
		p.sets[key] = set
	}
	if replica == nil {
		delete(set.endpoints, id)
	} else {
		set.endpoints[id] = replica
	}
	changed[key] = true
}

// compose is a part as a follower is told it, with cold times left from the moment. The caller
// holds the lock.
func (p *EndpointPublisher) compose(key peer.EndpointKey, now time.Time) peer.EndpointSet {
	composed := peer.EndpointSet{EndpointKey: key}
	set := p.sets[key]
	if set == nil {
		return composed
	}
	composed.Version = set.version
	replicas := set.endpoints
	if set.sample != nil {
		replicas = set.sample
	}
	for id, replica := range replicas {
		endpoint := peer.Endpoint{
			ID:       id,
			Address:  replica.listed.Address,
			Zone:     replica.listed.Zone,
			Slots:    replica.listed.Slots,
			Draining: replica.listed.State == discovery.Draining,
			Adapters: replica.usable[key.Model],
		}
		if left := replica.warmUpUntil.Sub(now); left > 0 {
			endpoint.WarmUpRemainingMs = float64(left.Milliseconds() + 1)
		}
		composed.Endpoints = append(composed.Endpoints, endpoint)
	}
	sort.Slice(composed.Endpoints, func(left, right int) bool {
		return composed.Endpoints[left].ID < composed.Endpoints[right].ID
	})
	return composed
}
