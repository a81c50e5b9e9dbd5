package operator

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/apierror"
	"ferryspar/internal/retention"
)

const contextBound = 64 << 10

func decode(request *http.Request, target any, kind apierror.Kind) error {
	reader := json.NewDecoder(http.MaxBytesReader(nil, request.Body, contextBound))
	reader.DisallowUnknownFields()
	if err := reader.Decode(target); err != nil {
		return apierror.New(kind, "%s", err.Error())
	}
	return nil
}

func readRetention(state State, request *http.Request) ([]byte, error) {
	policy, err := state.ReadRetention(request.Context())
	if err != nil {
		return nil, err
	}
	return json.Marshal(policy)
}

func setRetention(state State, request *http.Request) ([]byte, error) {
	var wanted struct {
		LifeMs *int64 `json:"lifeMs"`
	}
	if err := decode(request, &wanted, apierror.InvalidRetention); err != nil {
		return nil, err
	}
	if wanted.LifeMs == nil {
		return nil, apierror.New(apierror.InvalidRetention, "lifeMs is missing")
	}
	policy, err := state.SetRetention(request.Context(), retention.Policy{LifetimeMs: *wanted.LifeMs})
	if err != nil {
		return nil, err
	}
	return json.Marshal(policy)
}

func forget(state State, request *http.Request) ([]byte, error) {
	var scope retention.Scope
	if err := decode(request, &scope, apierror.InvalidRetention); err != nil {
		return nil, err
	}
	status, err := state.Forget(request.Context(), scope)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

func readForgets(state State, request *http.Request) ([]byte, error) {
	statuses, err := state.ReadForgets(request.Context())
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{"forgets": statuses})
}
