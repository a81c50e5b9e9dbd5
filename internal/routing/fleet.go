package routing

import (
	"slices"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// Replica is one replica in a snapshot of the fleet. It is not changed once the snapshot is stored.
type Replica struct {
	Index       int // in the snapshot's list
	ID          string
	Backend     string
	Address     string
	Zone        string
	Region      string
	Slots       int // requests it runs at once
	Draining    bool
	WarmUpUntil time.Time       // until then the cold rate bounds what is sent to it
	Models      map[string]bool // references model or model/adapter that may be used
}

// Snapshot is a snapshot of what the data plane knows of the world. It is not changed once stored.
type Snapshot struct {
	Table        *configuration.Table // nil before the first configuration
	Replicas     []*Replica
	DrainedZones map[string]bool             // evacuated zones
	DataPlanes   int                         // live data planes, counted high while uncertain
	ListedAt     time.Time                   // when the replicas were heard of
	PeerLoads    map[string]peer.ReplicaLoad // by replica id: the sums of the other data planes
	PeerLoadsAt  time.Time                   // when those were heard
	Index        *Index                      // of Replicas; made by the matcher where nil
	PeerOutcomes peer.Outcomes               // of the whole fleet at the other data planes
	Drill        *Drill                      // in force, or nil
}

// NewReplica makes a replica of the platform's list. fetched is when the list was heard of; barred
// holds "replica reference" pairs that are about to be unloaded and must not be used.
func NewReplica(index int, listed discovery.Replica, fetched time.Time, cordoned map[string]bool) *Replica {
	replica := &Replica{
		Index:    index,
		ID:       listed.ID,
		Backend:  listed.Backend,
		Address:  listed.Address,
		Zone:     listed.Zone,
		Slots:    listed.Slots,
		Draining: listed.State == discovery.Draining,
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

// accepts reports whether the request itself allows the replica: it is not excluded and lies in an
// allowed region.
func (r *Replica) accepts(request *Request) bool {
	return !request.ExcludedReplicas[r.ID] && (len(request.AllowedRegions) == 0 || slices.Contains(request.AllowedRegions, r.Region))
}

// Serves reports whether the replica could serve the request, whatever its load.
func (r *Replica) Serves(request *Request) bool {
	if r.Backend != request.Backend || r.Draining {
		return false
	}
	holds := request.Model == "" || r.Models[request.Model]
	return holds && r.accepts(request)
}

// BaseModel is the model of a reference model or model/adapter.
func BaseModel(reference string) string {
	model, _, _ := strings.Cut(reference, "/")
	return model
}
