package dataplane

import (
	"context"
	"sort"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// subscription is which state of the parts the daemon has from which life of a control plane.
type subscription struct {
	address     string
	incarnation string
	number      uint64
	roster      uint64
}

// subscribeResult is a control plane's answer to a question for parts, and when it came.
type subscribeResult struct {
	address    string
	request    peer.SubscribeRequest
	response   peer.SubscribeResponse
	sentAt     time.Time
	receivedAt time.Time
	failed     bool
}

// follow asks the primary control plane for the parts of models newly asked for, or for all parts
// if it must begin anew. One question at a time is open.
func (s *FleetState) subscribe(ctx context.Context, peers *peer.Client) {
	primary := *s.position.primary.Load()
	control := s.controlPeers[primary]
	if control == nil || s.subscribing {
		return
	}
	request := peer.SubscribeRequest{DataPlane: s.settings.NodeName, Sequence: control.subscriptionNumber + 1}
	if control.complete {
		request.Add, request.Remove = s.interest.TakeChanges()
		if len(request.Add) == 0 {
			return
		}
	} else {
		request.Reset = true
		request.Add = s.interest.All()
	}
	control.subscriptionNumber++
	s.subscribing = true
	go func() {
		var response peer.SubscribeResponse
		sentAt := s.clock()
		err := peers.Call(ctx, peer.MethodSubscribe, primary, request, &response)
		select {
		case s.subscribeResults <- subscribeResult{primary, request, response, sentAt, s.clock(), err != nil}:
		case <-ctx.Done():
		}
	}()
}

// followed adopts the answer to a question, and reports whether the fleet changed. After a failure
// everything is asked for anew.
func (s *FleetState) handleSubscribeResult(result subscribeResult) bool {
	s.subscribing = false
	control := s.controlPeers[result.address]
	if result.failed || result.response.Resubscribe || !result.response.IsFresh(result.sentAt, result.receivedAt) {
		control.complete = false
		return false
	}
	s.resetOnRestart(control, result.response.Incarnation)
	if result.request.Reset {
		control.complete = true
		control.retainOnly(result.request.Add)
		s.position.subscription.Store(&subscription{
			address:     result.address,
			incarnation: result.response.Incarnation,
			number:      result.request.Sequence,
			roster:      result.response.RosterVersion,
		})
	} else {
		subscription := *s.position.subscription.Load()
		subscription.number = result.request.Sequence
		s.position.subscription.Store(&subscription)
	}
	for _, name := range result.request.Remove {
		delete(control.endpointSets, name)
		s.rebuildIfUsed(result.address)
	}
	control.fetchedAt = result.receivedAt.Add(-time.Duration(result.response.RosterAgeMs) * time.Millisecond)
	touched := s.mergeEndpointSets(control, result.response.EndpointSets)
	return s.useEndpoints(result.address, control, touched)
}

// completeFrom tells whether the address is the primary and has told all parts.
func (s *FleetState) completeFrom(address string) bool {
	control := s.controlPeers[address]
	return control != nil && control.complete && address == *s.position.primary.Load()
}

// resetOnRestart forgets a control plane's parts if it has been restarted.
func (s *FleetState) resetOnRestart(control *controlPeer, incarnation string) {
	if control.incarnation != incarnation || control.endpointSets == nil {
		control.incarnation = incarnation
		control.complete = false
		control.endpointSets = map[peer.EndpointKey]peer.EndpointSet{}
	}
}

// retainOnly forgets the parts that are no longer followed.
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

// mergeEndpointSets adopts parts that are not older than those held, and returns them.
func (s *FleetState) mergeEndpointSets(control *controlPeer, sets []peer.EndpointSet) []peer.EndpointSet {
	var touched []peer.EndpointSet
	for _, set := range sets {
		if before, known := control.endpointSets[set.EndpointKey]; known && before.Version > set.Version {
			continue
		}
		control.endpointSets[set.EndpointKey] = set
		touched = append(touched, set)
	}
	return touched
}

// handleEndpointSets adopts the parts of a control plane's news, and reports whether the fleet changed.
func (s *FleetState) handleEndpointSets(address string, control *controlPeer, response peer.WatchResponse, receivedAt time.Time, fresh bool) bool {
	s.resetOnRestart(control, response.Incarnation)
	if response.Resubscribe {
		control.complete = false
	}
	if !fresh {
		return false
	}
	control.fetchedAt = receivedAt.Add(-time.Duration(response.RosterAgeMs) * time.Millisecond)
	if address != *s.position.primary.Load() {
		control.complete = false
	}
	return s.useEndpoints(address, control, s.mergeEndpointSets(control, response.EndpointSets))
}

// useEndpoints makes a control plane's parts the fleet's, and reports whether that changed it.
// Another's older parts are not used until the present ones are too old themselves.
func (s *FleetState) useEndpoints(address string, control *controlPeer, touched []peer.EndpointSet) bool {
	if !control.complete {
		return false
	}
	older := control.fetchedAt.Before(s.endpointsAsOf) && address != s.endpointsFrom
	if older && s.clock().Sub(s.endpointsAsOf) < controlPeerTimeout {
		return false
	}
	s.endpointsAsOf = control.fetchedAt
	if s.endpointsFrom != address || s.replicas == nil {
		s.endpointsFrom = address
		s.rebuildReplicas(control)
		return true
	}
	if len(touched) > 0 {
		s.rebuildReplicas(control)
	}
	return len(touched) > 0
}

// rebuild makes the fleet's replicas from a control plane's parts.
func (s *FleetState) rebuildReplicas(control *controlPeer) {
	listed := control.mergeReplicas()
	s.listedReplicas = make([]discovery.Replica, 0, len(listed))
	for _, replica := range listed {
		s.listedReplicas = append(s.listedReplicas, replica)
	}
	sort.Slice(s.listedReplicas, func(left, right int) bool { return s.listedReplicas[left].ID < s.listedReplicas[right].ID })
	now := s.clock()
	s.replicas = make([]*routing.Replica, len(s.listedReplicas))
	for index, replica := range s.listedReplicas {
		s.replicas[index] = routing.NewReplica(index, replica, now, nil)
		s.replicas[index].Region = s.settings.Zones[replica.Zone]
	}
}

// replicas merges the parts into entries by replica id. Where parts differ about a replica itself,
// the newest counts.
func (p *controlPeer) mergeReplicas() map[string]discovery.Replica {
	listed := map[string]discovery.Replica{}
	versions := map[string]uint64{}
	for name, set := range p.endpointSets {
		for _, endpoint := range set.Endpoints {
			replica := listed[endpoint.ID]
			if set.Version >= versions[endpoint.ID] {
				models := replica.Models
				replica = replicaFromEndpoint(name.Backend, endpoint)
				versions[endpoint.ID] = set.Version
				replica.Models = models
			}
			if name.Model != "" {
				replica.Models = append(replica.Models, discovery.LoadedModel{
					Name:     name.Model,
					Revision: 1,
					Adapters: endpoint.Adapters,
				})
			}
			listed[endpoint.ID] = replica
		}
	}
	return listed
}

// replicaFromEndpoint is a holder as an entry of the list, without models.
func replicaFromEndpoint(backend string, endpoint peer.Endpoint) discovery.Replica {
	state := "ready"
	if endpoint.Draining {
		state = discovery.Draining
	}
	return discovery.Replica{
		ID:                endpoint.ID,
		Backend:           backend,
		Address:           endpoint.Address,
		Zone:              endpoint.Zone,
		Slots:             endpoint.Slots,
		State:             state,
		WarmUpRemainingMs: endpoint.WarmUpRemainingMs,
	}
}

// rebuildIfUsed rebuilds the replicas if they come from the address.
func (s *FleetState) rebuildIfUsed(address string) {
	if address == s.endpointsFrom {
		s.rebuildReplicas(s.controlPeers[address])
	}
}
