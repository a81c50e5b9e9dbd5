package routing

import (
	"slices"

	"github.com/pkg/errors"

	"ferryspar/internal/discovery"
)

// Reasons why a request may not be sent to the chosen replica any more.
var (
	ErrReplicaUnlisted  = errors.New("replica is no longer listed")
	ErrReplicaDraining  = errors.New("replica is draining")
	ErrZoneDrained      = errors.New("zone of the replica is evacuated")
	ErrPhaseChanged     = errors.New("replica has another phase")
	ErrModelUnloaded    = errors.New("replica no longer has the model")
	ErrRegionNotAllowed = errors.New("region of the replica is not allowed")
)

// Target is a replica that a request may be sent to now. Only Snapshot.Admit and Snapshot.AdmitPrefill create targets, and
// forwarders accept nothing else: this enforces that a replica that was chosen some time ago is checked against the current
// snapshot before a request is sent there.
type Target struct {
	address   string
	replicaID string
}

// Address returns the replica's IP address and port.
func (t Target) Address() string { return t.address }

// ReplicaID returns the id of the replica.
func (t Target) ReplicaID() string { return t.replicaID }

// Admit returns the target for a request that is to run at a replica, or the reason why it must not.
func (s *Snapshot) Admit(request *Request, chosen *Replica) (Target, error) {
	present := s.find(chosen)
	if present != nil && present.Phase == discovery.PhasePrefill {
		return Target{}, ErrPhaseChanged
	}
	return s.admit(request, present)
}

// AdmitPrefill returns the target for the prefill of a request at a replica, or the reason why it must not run there.
func (s *Snapshot) AdmitPrefill(request *Request, chosen *Replica) (Target, error) {
	present := s.find(chosen)
	if present != nil && present.Phase != discovery.PhasePrefill {
		return Target{}, ErrPhaseChanged
	}
	return s.admit(request, present)
}

// admit makes the checks for replicas of any phase. present is the replica in this snapshot, nil if it is not listed.
func (s *Snapshot) admit(request *Request, present *Replica) (Target, error) {
	switch {
	case present == nil:
		return Target{}, ErrReplicaUnlisted
	case present.Draining:
		return Target{}, ErrReplicaDraining
	case s.DrainedZones[present.Zone]:
		return Target{}, ErrZoneDrained
	case request.Model != "" && !present.Models[request.Model]:
		return Target{}, ErrModelUnloaded
	case len(request.AllowedRegions) > 0 && !slices.Contains(request.AllowedRegions, present.Region):
		return Target{}, ErrRegionNotAllowed
	}
	return Target{address: present.Address, replicaID: present.ID}, nil
}

// find returns this snapshot's entry for a replica of an earlier snapshot, or nil.
func (s *Snapshot) find(earlier *Replica) *Replica {
	if at := earlier.Index; at < len(s.Replicas) && s.Replicas[at].ID == earlier.ID {
		return s.Replicas[at]
	}
	at := slices.IndexFunc(s.Replicas, func(listed *Replica) bool { return listed.ID == earlier.ID })
	if at < 0 {
		return nil
	}
	return s.Replicas[at]
}
