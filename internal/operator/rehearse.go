package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"ferryspar/internal/apierror"
	"ferryspar/internal/drill"
)

type rehearser func(state State, request *http.Request, wanted drill.Request) (any, error)

var rehearsers = map[string]rehearser{
	drill.KindForecast: func(state State, request *http.Request, wanted drill.Request) (any, error) {
		return state.Forecast(request.Context(), wanted.Scope)
	},
	drill.KindDrill: func(state State, request *http.Request, wanted drill.Request) (any, error) {
		return state.StartDrill(request.Context(), wanted)
	},
}

func rehearse(state State, request *http.Request) ([]byte, error) {
	var wanted drill.Request
	if err := decode(request, &wanted, apierror.InvalidDrill); err != nil {
		return nil, err
	}
	handle, known := rehearsers[wanted.Kind]
	if !known {
		return nil, apierror.New(apierror.InvalidDrill, "kind must be %q or %q", drill.KindForecast, drill.KindDrill)
	}
	result, err := handle(state, request, wanted)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

func told(ask func(state State, ctx context.Context) (drill.Status, error)) handler {
	return func(state State, request *http.Request) ([]byte, error) {
		status, err := ask(state, request.Context())
		if err != nil {
			return nil, err
		}
		return json.Marshal(status)
	}
}
