package operator

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/platform"
)

// Fleet is what one control daemon tells of the fleet.
type Fleet struct {
	// Member is the address of the daemon that answers.
	Member string `json:"member"`
	// IsMember says whether it is on the member list, Voting whether it counts towards a
	// majority, Leaving whether it is about to end.
	IsMember bool `json:"isMember"`
	Voting   bool `json:"voting"`
	Leaving  bool `json:"leaving,omitempty"`
	// Fresh says whether a majority confirmed its state within the last moments; ConfirmedMs is
	// how long ago it last did (-1: never).
	Fresh       bool     `json:"fresh"`
	ConfirmedMs int64    `json:"confirmedAgeMs"`
	Revision    int64    `json:"revision"`
	Members     []string `json:"members"`
	Next        []string `json:"nextMembers,omitempty"`
	// MembersNumber rises with each change of the member list.
	MembersNumber uint64 `json:"membersNumber"`
	// MembersChange is the last change of the member list that the daemon itself committed in this life.
	MembersChange *MembersChange `json:"membersChange,omitempty"`
	// Silent lists the members that the daemon does not hear.
	Silent   []string           `json:"silent,omitempty"`
	Holder   string             `json:"placementHolder"`
	Drained  []string           `json:"drainedZones"`
	Edges    []string           `json:"edges"`
	Control  []string           `json:"control"`
	Replicas []platform.Replica `json:"replicas"`
	// ListMs is the age of the platform's list of replicas (-1: never read).
	ListMs int64 `json:"listAgeMs"`
}

// MembersChange is a change of the member list: the number of the list that it made, and why.
type MembersChange struct {
	Number uint64 `json:"number"`
	Reason string `json:"reason"`
}

func status(state State, request *http.Request) ([]byte, error) {
	return json.Marshal(state.Status())
}
