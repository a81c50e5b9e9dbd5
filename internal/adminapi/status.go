package adminapi

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/discovery"
)

// FleetStatus is what one control daemon tells of the fleet.
type FleetStatus struct {
	// Member is the address of the daemon that answers.
	Member string `json:"member"`
	// IsMember says whether it is on the member list, Voting whether it counts towards a
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
	// MembershipVersion rises with each change of the member list.
	MembershipVersion uint64 `json:"membersNumber"`
	// MembershipChange is the last change of the member list that the daemon itself committed in this life.
	MembershipChange *MembershipChange `json:"membersChange,omitempty"`
	// Silent lists the members that the daemon does not hear.
	SilentMembers   []string            `json:"silent,omitempty"`
	PlacementHolder string              `json:"placementHolder"`
	DrainedZones    []string            `json:"drainedZones"`
	DataPlanes      []string            `json:"edges"`
	ControlPlanes   []string            `json:"control"`
	Replicas        []discovery.Replica `json:"replicas"`
	// ListAgeMs is the age of the platform's list of replicas (-1: never read).
	ListAgeMs int64 `json:"listAgeMs"`
}

// MembershipChange is a change of the member list: the number of the list that it made, and why.
type MembershipChange struct {
	Version uint64 `json:"number"`
	Reason  string `json:"reason"`
}

func readStatus(state State, request *http.Request) ([]byte, error) {
	return json.Marshal(state.Status())
}
