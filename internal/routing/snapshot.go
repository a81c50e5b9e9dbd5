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
	Slots       int // maximum number of concurrent requests
	Draining    bool
	Phase       discovery.Phase
	WarmUpUntil time.Time       // until then the warm-up rate limits the requests sent to it
	Models      map[string]bool // usable references, model or model/adapter
}

// Snapshot is the state of the fleet as known to the data plane. It is immutable once stored.
type Snapshot struct {
	Table          *configuration.Table // nil before the first configuration
	Replicas       []*Replica
	DrainedZones   map[string]bool             // evacuated zones
	DataPlaneCount int                         // number of live data planes, overestimated while uncertain
	ListedAt       time.Time                   // when the list of replicas was received
	PeerLoads      map[string]peer.ReplicaLoad // by replica id: total load from the other data planes
	PeerLoadsAt    time.Time                   // when the peer loads were received
	Index          *Index                      // of Replicas; built by the matcher if nil
	PeerOutcomes   peer.Outcomes               // at the other data planes, of all replicas
	Drill          *Drill                      // in force, or nil
}

// NewReplica returns a replica from the platform's list, which was fetched at the given time. cordoned holds the
// pairs "replica reference" of models that are about to be unloaded and must not be used.
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

// recentPeerLoad returns the load of a replica from the other data planes, or none if it is older than
// peerLoadTTL.
func (s *Snapshot) recentPeerLoad(id string, now time.Time) peer.ReplicaLoad {
	if now.Sub(s.PeerLoadsAt) > peerLoadTTL {
		return peer.ReplicaLoad{}
	}
	return s.PeerLoads[id]
}

// recentPeerOutcomes returns the outcomes of all replicas at the other data planes, or none if they are older
// than peerLoadTTL.
func (s *Snapshot) recentPeerOutcomes(now time.Time) peer.Outcomes {
	if now.Sub(s.PeerLoadsAt) > peerLoadTTL {
		return peer.Outcomes{}
	}
	return s.PeerOutcomes
}

// accepts reports whether the request allows the replica: it is not excluded and is in an allowed region.
func (r *Replica) accepts(request *Request) bool {
	if request.ExcludedReplicas[r.ID] {
		return false
	}
	return len(request.AllowedRegions) == 0 || slices.Contains(request.AllowedRegions, r.Region)
}

// Serves reports whether the replica could serve the request, regardless of its load. Prefill replicas cannot.
func (r *Replica) Serves(request *Request) bool {
	if r.Backend != request.Backend || r.Draining || r.Phase == discovery.PhasePrefill {
		return false
	}
	hasModel := request.Model == "" || r.Models[request.Model]
	return hasModel && r.accepts(request)
}

// BaseModel returns the model of a reference, which is "model" or "model/adapter".
func BaseModel(reference string) string {
	model, _, _ := strings.Cut(reference, "/")
	return model
}
