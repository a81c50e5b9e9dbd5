package operator

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/platform"
)

type Fleet struct {
	Member   string             `json:"member"`
	Fresh    bool               `json:"fresh"`
	Revision int64              `json:"revision"`
	Members  []string           `json:"members"`
	Next     []string           `json:"nextMembers,omitempty"`
	Holder   string             `json:"placementHolder"`
	Drained  []string           `json:"drainedZones"`
	Edges    []string           `json:"edges"`
	Control  []string           `json:"control"`
	Replicas []platform.Replica `json:"replicas"`
	ListMs   int64              `json:"listAgeMs"`
}

func status(state State, request *http.Request) ([]byte, error) {
	return json.Marshal(state.Status())
}
