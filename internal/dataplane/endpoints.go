package dataplane

import (
	"slices"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// endpointTable is the list of replicas in use and where it is from. It belongs to the goroutine of FleetState.Run, but for
// ids.
type endpointTable struct {
	// regions are the regions of the zones.
	regions map[string]string
	clock   func() time.Time

	// source is the address of the control-plane node that the list is from, empty before the first.
	source string
	// fetchedAt is the controlPeer.fetchedAt of the endpoints in use.
	fetchedAt time.Time
	listed    []discovery.Replica
	replicas  []*routing.Replica
	// ids are those of the replicas listed, in their order.
	ids atomic.Pointer[peer.ReplicaIDs]
}

// use makes a node's endpoints those in use, and reports whether the snapshot changes by it; changed says whether the node's own
// endpoints have changed. Another node's older endpoints are not used until the present ones are too old themselves.
func (t *endpointTable) use(address string, control *controlPeer, changed bool) bool {
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

// rebuild makes the list of replicas from a node's endpoints.
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

// resetOnRestart forgets a node's endpoints if they are from another incarnation.
func (p *controlPeer) resetOnRestart(incarnation string) {
	if p.incarnation != incarnation || p.endpointSets == nil {
		p.incarnation = incarnation
		p.complete = false
		p.endpointSets = map[peer.EndpointKey]peer.EndpointSet{}
	}
}

// retainOnly forgets the endpoint sets that are no longer followed.
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

// merge adopts endpoint sets that are not older than those known, and reports whether there were any.
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

// listReplicas joins the endpoint sets into one entry a replica, in order of ids. Where sets differ about a replica itself,
// the newest counts.
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

// replicaFromEndpoint is an endpoint as an entry of the list, without models.
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
