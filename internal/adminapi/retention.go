package adminapi

import (
	"encoding/json"
	"net/http"

	"ferryspar/internal/apierror"
	"ferryspar/internal/retention"
)

// maxBodyBytes limits the bodies of all requests but changes of the configuration.
const maxBodyBytes = 64 << 10

// decodeBody decodes a JSON body into target. It rejects unknown fields; errors are of the given kind.
func decodeBody(request *http.Request, target any, kind apierror.Kind) error {
	reader := json.NewDecoder(http.MaxBytesReader(nil, request.Body, maxBodyBytes))
	reader.DisallowUnknownFields()
	if err := reader.Decode(target); err != nil {
		return apierror.New(kind, "%s", err.Error())
	}
	return nil
}

func readRetention(service Service, request *http.Request) ([]byte, error) {
	policy, err := service.ReadRetention(request.Context())
	if err != nil {
		return nil, err
	}
	return json.Marshal(policy)
}

func setRetention(service Service, request *http.Request) ([]byte, error) {
	var requested struct {
		LifetimeMs *int64 `json:"lifeMs"`
	}
	if err := decodeBody(request, &requested, apierror.InvalidRetention); err != nil {
		return nil, err
	}
	if requested.LifetimeMs == nil {
		return nil, apierror.New(apierror.InvalidRetention, "lifeMs is missing")
	}
	policy, err := service.SetRetention(request.Context(), retention.Policy{LifetimeMs: *requested.LifetimeMs})
	if err != nil {
		return nil, err
	}
	return json.Marshal(policy)
}

func startPurge(service Service, request *http.Request) ([]byte, error) {
	var scope retention.Scope
	if err := decodeBody(request, &scope, apierror.InvalidRetention); err != nil {
		return nil, err
	}
	status, err := service.StartPurge(request.Context(), scope)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

func readPurges(service Service, request *http.Request) ([]byte, error) {
	statuses, err := service.ReadPurges(request.Context())
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{"forgets": statuses})
}
