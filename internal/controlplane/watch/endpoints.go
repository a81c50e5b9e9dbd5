package watch

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// EndpointPublisher splits the roster into endpoint sets, one for each model of a backend and one for the backend as a
// whole, and keeps the data planes' subscriptions to them. It is safe for concurrent use.
type EndpointPublisher struct {
	// lock guards all fields and everything that they refer to.
	lock sync.Mutex
	// version is incremented by each roster that changes any set.
	version  uint64
	replicas map[string]*endpointSource
	sets     map[peer.EndpointKey]*endpointSet
	// subscribers holds the subscriptions by set, subscriptions holds them by data plane.
	subscribers   map[peer.EndpointKey]map[*subscription]bool
	subscriptions map[string]*subscription
}

// endpointSet holds the replicas that serve a key.
type endpointSet struct {
	// version is the publisher's version at which the set last changed.
	version uint64
	// endpoints holds the replicas by id.
	endpoints map[string]*endpointSource
	// sample, if not nil, is what subscribers are sent instead of all endpoints.
	sample map[string]*endpointSource
	// cells holds the parts of a set that is too large to be sent whole, and is empty for other sets.
	cells []cell
	// adapterReplicas are sent to every subscriber in addition to its cells, see chooseAdapterReplicas; adapterReplicasVersion is
	// the publisher's version at which they last changed.
	adapterReplicas        map[string]*endpointSource
	adapterReplicasVersion uint64
	// ready counts the ready replicas of all cells by phase, as of the last call of updateCells.
	ready map[discovery.Phase]int
}

// cordons holds the models and adapters of a replica that must get no new requests, as "model" or "model/adapter".
type cordons map[string]bool

// changedKeys collects the sets that a roster changes, each with the ids of the replicas that changed in it.
type changedKeys map[peer.EndpointKey]map[string]bool

// add records that a replica changed in a set.
func (c changedKeys) add(key peer.EndpointKey, id string) {
	if c[key] == nil {
		c[key] = map[string]bool{}
	}
	c[key][id] = true
}

// NewEndpointPublisher returns a publisher of an empty roster.
func NewEndpointPublisher() *EndpointPublisher {
	return &EndpointPublisher{
		replicas:      map[string]*endpointSource{},
		sets:          map[peer.EndpointKey]*endpointSet{},
		subscribers:   map[peer.EndpointKey]map[*subscription]bool{},
		subscriptions: map[string]*subscription{},
	}
}

// Publish replaces the roster and wakes the subscribers of the sets that change. Remaining warm-up times in the roster
// count from asOf. Cordoned lists the models and adapters that must get no new requests, as "replica model" or "replica
// model/adapter".
func (p *EndpointPublisher) Publish(replicas []discovery.Replica, cordoned []string, asOf time.Time) {
	cordonsByReplica := groupByReplica(cordoned)
	p.lock.Lock()
	defer p.lock.Unlock()
	changed := changedKeys{}
	present := make(map[string]bool, len(replicas))
	for index := range replicas {
		listed := replicas[index]
		present[listed.ID] = true
		p.update(listed, cordonsByReplica[listed.ID], asOf, changed)
	}
	for id, replica := range p.replicas {
		if !present[id] {
			p.remove(replica, changed)
			delete(p.replicas, id)
		}
	}
	p.resample(changed)
	if len(changed) == 0 {
		return
	}
	p.version++
	for key, ids := range changed {
		set := p.sets[key]
		set.version = p.version
		set.updateCells(key.Model, ids, p.version)
		for subscriber := range p.subscribers[key] {
			if set.versionFor(subscriber.dataPlane) == p.version {
				subscriber.notify()
			}
		}
	}
}

// groupByReplica returns the cordons by replica id, nil if there are none.
func groupByReplica(cordoned []string) map[string]cordons {
	if len(cordoned) == 0 {
		return nil
	}
	byReplica := map[string]cordons{}
	for _, entry := range cordoned {
		id, reference, _ := strings.Cut(entry, " ")
		if byReplica[id] == nil {
			byReplica[id] = cordons{}
		}
		byReplica[id][reference] = true
	}
	return byReplica
}

// update applies a replica's entry in the roster and adds the sets that it changes to changed.
func (p *EndpointPublisher) update(listed discovery.Replica, cordoned cordons, asOf time.Time, changed changedKeys) {
	warmUpUntil := time.Time{}
	if listed.WarmUpRemainingMs > 0 {
		warmUpUntil = asOf.Add(time.Duration(listed.WarmUpRemainingMs * float64(time.Millisecond)))
	}
	previous := p.replicas[listed.ID]
	if previous != nil && len(cordoned) == 0 && previous.hasNoCordons() && previous.sameListing(listed, warmUpUntil) {
		return
	}
	next := &endpointSource{
		listed:      listed,
		warmUpUntil: warmUpUntil,
		usable:      usableModels(listed, cordoned),
	}
	changesAll := previous == nil || !previous.sameEndpoint(next)
	if !changesAll && sameUsable(previous.usable, next.usable) {
		previous.listed = listed
		return
	}
	if previous != nil {
		p.removeFromChanged(previous, next, changesAll, changed)
	}
	p.addToChanged(previous, next, changesAll, changed)
	p.replicas[listed.ID] = next
}

// removeFromChanged removes the replica from the sets in which it changes or to which it no longer belongs, or from all
// of its sets if changesAll is set.
func (p *EndpointPublisher) removeFromChanged(previous, next *endpointSource, changesAll bool, changed changedKeys) {
	for model, adapters := range previous.usable {
		nextAdapters, stays := next.usable[model]
		if changesAll || !stays || !slices.Equal(adapters, nextAdapters) {
			p.setEndpoint(previous.key(model), previous.listed.ID, nil, changed)
		}
	}
}

// addToChanged adds the replica to its sets. Sets in which its endpoint stays the same don't count as changed.
func (p *EndpointPublisher) addToChanged(previous, next *endpointSource, changesAll bool, changed changedKeys) {
	id := next.listed.ID
	for model, adapters := range next.usable {
		var previousAdapters []string
		known := false
		if previous != nil {
			previousAdapters, known = previous.usable[model]
		}
		key := next.key(model)
		if changesAll || !known || !slices.Equal(adapters, previousAdapters) {
			p.setEndpoint(key, id, next, changed)
		} else {
			p.sets[key].endpoints[id] = next
		}
	}
}

// remove removes a replica that is no longer listed from its sets.
func (p *EndpointPublisher) remove(replica *endpointSource, changed changedKeys) {
	for model := range replica.usable {
		p.setEndpoint(replica.key(model), replica.listed.ID, nil, changed)
	}
}

// setEndpoint adds a replica to a set or, if it is nil, removes the one with the id.
func (p *EndpointPublisher) setEndpoint(key peer.EndpointKey, id string, replica *endpointSource, changed changedKeys) {
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
	changed.add(key, id)
}

// endpointSetFor returns a set as it is sent to a data plane, ordered by id, with the warm-up times that remain now. The
// caller holds the lock.
func (p *EndpointPublisher) endpointSetFor(key peer.EndpointKey, dataPlane string, now time.Time) peer.EndpointSet {
	composed := peer.EndpointSet{EndpointKey: key}
	set := p.sets[key]
	if set == nil {
		return composed
	}
	composed.Version = set.version
	for _, replica := range set.endpointsFor(dataPlane) {
		composed.Endpoints = append(composed.Endpoints, replica.endpoint(key.Model, now))
	}
	slices.SortFunc(composed.Endpoints, func(left, right peer.Endpoint) int { return cmp.Compare(left.ID, right.ID) })
	return composed
}
