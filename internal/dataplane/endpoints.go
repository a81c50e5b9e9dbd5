package dataplane

import (
	"slices"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// endpointTable holds the replicas in use and their source. Only the goroutine of FleetState.Run uses it, except for ids.
type endpointTable struct {
	// regions maps zones to their regions.
	regions map[string]string
	clock   func() time.Time

	// source is the address of the control-plane node that sent the endpoints, or empty if there are none yet.
	source string
	// fetchedAt is the controlPeer.fetchedAt of the endpoints in use.
	fetchedAt time.Time
	listed    []discovery.Replica
	replicas  []*routing.Replica
	// ids are the ids of listed, in the same order. Any goroutine may load them.
	ids atomic.Pointer[peer.ReplicaIDs]
}

// adopt puts a node's endpoints in use and reports whether the snapshot changes; changed is whether the node's endpoints have
// changed since the last call. Older endpoints of a node other than the source are not adopted until those in use are older than
// controlPeerTimeout.
func (t *endpointTable) adopt(address string, control *controlPeer, changed bool) bool {
	if !control.complete {
		return false
	}
	older := control.fetchedAt.Before(t.fetchedAt) && address != t.source
	if older && t.clock().Sub(t.fetchedAt) < controlPeerTimeout {
		return false
	}
	t.fetchedAt = control.fetchedAt
	if t.source != address || t.replicas == nil {
		t.source = address
		changed = true
	}
	if changed {
		t.rebuild(control)
	}
	return changed
}

// rebuild rebuilds the list of replicas from a node's endpoints.
func (t *endpointTable) rebuild(control *controlPeer) {
	t.listed = control.listReplicas()
	now := t.clock()
	t.replicas = make([]*routing.Replica, len(t.listed))
	ids := make([]string, len(t.listed))
	for index, listed := range t.listed {
		ids[index] = listed.ID
		t.replicas[index] = routing.NewReplica(index, listed, now, nil)
		t.replicas[index].Region = t.regions[listed.Zone]
	}
	known := peer.NewReplicaIDs(ids)
	t.ids.Store(&known)
}

// resetOnRestart drops a node's endpoints if another incarnation sent them.
func (p *controlPeer) resetOnRestart(incarnation string) {
	if p.incarnation != incarnation || p.endpointSets == nil {
		p.incarnation = incarnation
		p.complete = false
		p.endpointSets = map[peer.EndpointKey]peer.EndpointSet{}
	}
}

// retainOnly drops the endpoint sets that are not among names.
func (p *controlPeer) retainOnly(names []peer.EndpointKey) {
	followed := make(map[peer.EndpointKey]bool, len(names))
	for _, name := range names {
		followed[name] = true
	}
	for name := range p.endpointSets {
		if !followed[name] {
			delete(p.endpointSets, name)
		}
	}
}

// merge stores the endpoint sets that are not older than the known ones, and reports whether there were any.
func (p *controlPeer) merge(sets []peer.EndpointSet) bool {
	merged := false
	for _, set := range sets {
		if known, found := p.endpointSets[set.EndpointKey]; found && known.Version > set.Version {
			continue
		}
		p.endpointSets[set.EndpointKey] = set
		merged = true
	}
	return merged
}

// listReplicas merges the endpoint sets into one entry per replica, ordered by id. If sets disagree about a replica, the newest
// set takes precedence.
func (p *controlPeer) listReplicas() []discovery.Replica {
	byID := map[string]discovery.Replica{}
	versions := map[string]uint64{}
	for name, set := range p.endpointSets {
		for _, endpoint := range set.Endpoints {
			replica := byID[endpoint.ID]
			if set.Version >= versions[endpoint.ID] {
				models := replica.Models
				replica = replicaFromEndpoint(name.Backend, endpoint)
				replica.Models = models
				versions[endpoint.ID] = set.Version
			}
			if name.Model != "" {
				replica.Models = append(replica.Models, discovery.LoadedModel{
					Name:     name.Model,
					Revision: 1,
					Adapters: endpoint.Adapters,
				})
			}
			byID[endpoint.ID] = replica
		}
	}
	ids := make([]string, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	listed := make([]discovery.Replica, len(ids))
	for index, id := range ids {
		listed[index] = byID[id]
	}
	return listed
}

// replicaFromEndpoint converts an endpoint to a list entry without models.
func replicaFromEndpoint(backend string, endpoint peer.Endpoint) discovery.Replica {
	state := discovery.StateReady
	if endpoint.Draining {
		state = discovery.StateDraining
	}
	return discovery.Replica{
		ID:                endpoint.ID,
		Backend:           backend,
		Address:           endpoint.Address,
		Zone:              endpoint.Zone,
		Slots:             endpoint.Slots,
		State:             state,
		Phase:             endpoint.Phase,
		WarmUpRemainingMs: endpoint.WarmUpRemainingMs,
	}
}
