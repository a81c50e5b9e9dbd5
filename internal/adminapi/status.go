package adminapi

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/discovery"
)

// FleetStatus is the state of the fleet as one control plane sees it. Ages are milliseconds.
type FleetStatus struct {
	// Address is the address of the control plane that answers.
	Address string `json:"member"`
	// IsMember says whether it belongs to the membership, Voting whether it counts towards a
	// majority, Leaving whether it is about to end.
	IsMember bool `json:"isMember"`
	Voting   bool `json:"voting"`
	Leaving  bool `json:"leaving,omitempty"`
	// Fresh says whether a majority confirmed its state within the last moments; ConfirmedAgeMs is
	// how long ago it last did (-1: never).
	Fresh          bool     `json:"fresh"`
	ConfirmedAgeMs int64    `json:"confirmedAgeMs"`
	Revision       int64    `json:"revision"`
	Members        []string `json:"members"`
	NextMembers    []string `json:"nextMembers,omitempty"`
	// MembershipVersion rises with each change of the membership.
	MembershipVersion uint64 `json:"membersNumber"`
	// MembershipChange is the last change of the membership that this process itself committed.
	MembershipChange *MembershipChange `json:"membersChange,omitempty"`
	// SuspectedMembers lists the members that it has not heard from lately.
	SuspectedMembers     []string            `json:"silent,omitempty"`
	PlacementLeaseHolder string              `json:"placementHolder"`
	DrainedZones         []string            `json:"drainedZones"`
	DataPlanes           []string            `json:"edges"`
	ControlPlanes        []string            `json:"control"`
	Replicas             []discovery.Replica `json:"replicas"`
	// ReplicaListAgeMs is the age of the platform's list of replicas (-1: never read).
	ReplicaListAgeMs int64 `json:"listAgeMs"`
}

// MembershipChange is a change of the membership: the version that it made, and why.
type MembershipChange struct {
	Version uint64 `json:"number"`
	Reason  string `json:"reason"`
}

func readStatus(state Service, _ *http.Request) ([]byte, error) {
	return json.Marshal(state.Status())
}
