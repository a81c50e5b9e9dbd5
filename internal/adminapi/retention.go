package adminapi

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/apierror"
	"ferryspar/internal/retention"
)

// maxBodyBytes is the size of the largest other body that is read.
const maxBodyBytes = 64 << 10

// decodeBody decodes a JSON body. Errors are of that kind.
func decodeBody(request *http.Request, target any, kind apierror.Kind) error {
	reader := json.NewDecoder(http.MaxBytesReader(nil, request.Body, maxBodyBytes))
	reader.DisallowUnknownFields()
	if err := reader.Decode(target); err != nil {
		return apierror.New(kind, "%s", err.Error())
	}
	return nil
}

func readRetention(state Service, request *http.Request) ([]byte, error) {
	policy, err := state.ReadRetention(request.Context())
	if err != nil {
		return nil, err
	}
	return json.Marshal(policy)
}

func setRetention(state Service, request *http.Request) ([]byte, error) {
	var requested struct {
		LifeMs *int64 `json:"lifeMs"`
	}
	if err := decodeBody(request, &requested, apierror.InvalidRetention); err != nil {
		return nil, err
	}
	if requested.LifeMs == nil {
		return nil, apierror.New(apierror.InvalidRetention, "lifeMs is missing")
	}
	policy, err := state.SetRetention(request.Context(), retention.Policy{LifetimeMs: *requested.LifeMs})
	if err != nil {
		return nil, err
	}
	return json.Marshal(policy)
}

func forget(state Service, request *http.Request) ([]byte, error) {
	var scope retention.Scope
	if err := decodeBody(request, &scope, apierror.InvalidRetention); err != nil {
		return nil, err
	}
	status, err := state.StartPurge(request.Context(), scope)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

func readForgets(state Service, request *http.Request) ([]byte, error) {
	statuses, err := state.ReadPurges(request.Context())
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{"forgets": statuses})
}
