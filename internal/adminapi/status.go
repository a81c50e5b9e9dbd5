package adminapi

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/discovery"
)

// FleetStatus is the state of the fleet as one control plane sees it.
type FleetStatus struct {
	// Address is that of the control plane that reports this status.
	Address string `json:"member"`
	// IsMember reports whether that control plane belongs to the membership, Voting whether its vote counts towards a
	// majority, Leaving whether it is shutting down.
	IsMember bool `json:"isMember"`
	Voting   bool `json:"voting"`
	Leaving  bool `json:"leaving,omitempty"`
	// Fresh reports whether a majority confirmed its state recently enough to act on it. ConfirmedAgeMs is the time since
	// the last confirmation, -1 if there has been none.
	Fresh          bool     `json:"fresh"`
	ConfirmedAgeMs int64    `json:"confirmedAgeMs"`
	Revision       int64    `json:"revision"`
	Members        []string `json:"members"`
	NextMembers    []string `json:"nextMembers,omitempty"`
	// MembershipVersion increases with each change of the membership.
	MembershipVersion uint64 `json:"membersNumber"`
	// MembershipChange is the last change of the membership that this process committed, nil if it has committed none.
	MembershipChange *MembershipChange `json:"membersChange,omitempty"`
	// SuspectedMembers are the members that its failure detector suspects, as it has not heard from them recently.
	SuspectedMembers     []string            `json:"silent,omitempty"`
	PlacementLeaseHolder string              `json:"placementHolder"`
	DrainedZones         []string            `json:"drainedZones"`
	DataPlanes           []string            `json:"edges"`
	ControlPlanes        []string            `json:"control"`
	Replicas             []discovery.Replica `json:"replicas"`
	// ReplicaListAgeMs is the age of the platform's list of replicas, -1 if it has not been read yet.
	ReplicaListAgeMs int64 `json:"listAgeMs"`
}

// MembershipChange is a change of the membership: the version that it produced and the reason for it.
type MembershipChange struct {
	Version uint64 `json:"number"`
	Reason  string `json:"reason"`
}

func readStatus(service Service, _ *http.Request) ([]byte, error) {
	return json.Marshal(service.Status())
}
