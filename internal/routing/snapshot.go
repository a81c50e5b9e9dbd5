package routing

import (
	"slices"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// Replica is one replica in a snapshot. It is immutable once the snapshot is stored.
type Replica struct {
	Index       int // in the snapshot's list
	ID          string
	Backend     string
	Address     string
	Zone        string
	Region      string
	Slots       int // requests it runs at once
	Draining    bool
	Phase       discovery.Phase
	WarmUpUntil time.Time       // until then the warm-up rate limits what is sent to it
	Models      map[string]bool // usable references, model or model/adapter
}

// Snapshot is what the data plane knows of the fleet. It is immutable once stored.
type Snapshot struct {
	Table          *configuration.Table // nil before the first configuration
	Replicas       []*Replica
	DrainedZones   map[string]bool             // evacuated zones
	DataPlaneCount int                         // live data planes, counted high while uncertain
	ListedAt       time.Time                   // when the list of replicas was received
	PeerLoads      map[string]peer.ReplicaLoad // by replica id: what the other data planes together run there
	PeerLoadsAt    time.Time                   // when those were received
	Index          *Index                      // of Replicas; built by the matcher if nil
	PeerOutcomes   peer.Outcomes               // of the whole fleet at the other data planes
	Drill          *Drill                      // in force, or nil
}

// NewReplica returns a replica of the platform's list, which was fetched at that time. cordoned holds
// "replica reference" pairs that are about to be unloaded and must not be used.
func NewReplica(index int, listed discovery.Replica, fetched time.Time, cordoned map[string]bool) *Replica {
	replica := &Replica{
		Index:    index,
		ID:       listed.ID,
		Backend:  listed.Backend,
		Address:  listed.Address,
		Zone:     listed.Zone,
		Slots:    listed.Slots,
		Draining: listed.State == discovery.Draining,
		Phase:    listed.Phase,
		Models:   map[string]bool{},
	}
	if listed.WarmUpRemainingMs > 0 {
		remaining := time.Duration(listed.WarmUpRemainingMs * float64(time.Millisecond))
		replica.WarmUpUntil = fetched.Add(remaining)
	}
	for _, model := range listed.Models {
		if cordoned[listed.ID+" "+model.Name] {
			continue
		}
		replica.Models[model.Name] = true
		for _, adapter := range model.Adapters {
			reference := model.Name + "/" + adapter
			if !cordoned[listed.ID+" "+reference] {
				replica.Models[reference] = true
			}
		}
	}
	return replica
}

// recentPeerLoad returns what the other data planes run at a replica, nothing if that is older than
// peerLoadTTL.
func (s *Snapshot) recentPeerLoad(id string, now time.Time) peer.ReplicaLoad {
	if now.Sub(s.PeerLoadsAt) > peerLoadTTL {
		return peer.ReplicaLoad{}
	}
	return s.PeerLoads[id]
}

// recentPeerOutcomes returns the other data planes' outcomes at all replicas, none if they are older than
// peerLoadTTL.
func (s *Snapshot) recentPeerOutcomes(now time.Time) peer.Outcomes {
	if now.Sub(s.PeerLoadsAt) > peerLoadTTL {
		return peer.Outcomes{}
	}
	return s.PeerOutcomes
}

// accepts reports whether the request itself allows the replica: it is not excluded and lies in an
// allowed region.
func (r *Replica) accepts(request *Request) bool {
	if request.ExcludedReplicas[r.ID] {
		return false
	}
	return len(request.AllowedRegions) == 0 || slices.Contains(request.AllowedRegions, r.Region)
}

// Serves reports whether the replica could serve the request, whatever its load. One that only reads prompts does not.
func (r *Replica) Serves(request *Request) bool {
	if r.Backend != request.Backend || r.Draining || r.Phase == discovery.PhasePrefill {
		return false
	}
	hasModel := request.Model == "" || r.Models[request.Model]
	return hasModel && r.accepts(request)
}

// BaseModel returns the model of a reference model or model/adapter.
func BaseModel(reference string) string {
	model, _, _ := strings.Cut(reference, "/")
	return model
}
