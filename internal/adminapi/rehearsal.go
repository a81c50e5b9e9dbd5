package adminapi

import (
	"context"
	"encoding/json"
	"net/http"

	"ferryspar/internal/apierror"
	"ferryspar/internal/drill"
)

type rehearsalHandler func(state Service, request *http.Request, wanted drill.Request) (any, error)

var rehearsalHandlers = map[string]rehearsalHandler{
	drill.KindForecast: func(state Service, request *http.Request, wanted drill.Request) (any, error) {
		return state.Forecast(request.Context(), wanted.Scope)
	},
	drill.KindDrill: func(state Service, request *http.Request, wanted drill.Request) (any, error) {
		return state.StartDrill(request.Context(), wanted)
	},
}

func startRehearsal(state Service, request *http.Request) ([]byte, error) {
	var requested drill.Request
	if err := decodeBody(request, &requested, apierror.InvalidDrill); err != nil {
		return nil, err
	}
	handle, known := rehearsalHandlers[requested.Kind]
	if !known {
		return nil, apierror.New(apierror.InvalidDrill, "kind must be %q or %q", drill.KindForecast, drill.KindDrill)
	}
	result, err := handle(state, request, requested)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

func drillHandler(read func(state Service, ctx context.Context) (drill.Status, error)) handler {
	return func(state Service, request *http.Request) ([]byte, error) {
		status, err := read(state, request.Context())
		if err != nil {
			return nil, err
		}
		return json.Marshal(status)
	}
}
