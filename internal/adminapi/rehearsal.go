package adminapi

import (
	"context"
	"encoding/json"
	"net/http"

	"ferryspar/internal/apierror"
	"ferryspar/internal/drill"
)

// rehearsalHandler carries out one kind of rehearsal and returns the value to send.
type rehearsalHandler func(service Service, request *http.Request, rehearsal drill.Request) (any, error)

// rehearsalHandlers are the handlers by the kind in the request.
var rehearsalHandlers = map[string]rehearsalHandler{
	drill.KindForecast: func(service Service, request *http.Request, rehearsal drill.Request) (any, error) {
		return service.Forecast(request.Context(), rehearsal.Scope)
	},
	drill.KindDrill: func(service Service, request *http.Request, rehearsal drill.Request) (any, error) {
		return service.StartDrill(request.Context(), rehearsal)
	},
}

func startRehearsal(service Service, request *http.Request) ([]byte, error) {
	var requested drill.Request
	if err := decodeBody(request, &requested, apierror.InvalidDrill); err != nil {
		return nil, err
	}
	handle, found := rehearsalHandlers[requested.Kind]
	if !found {
		return nil, apierror.New(apierror.InvalidDrill, "kind must be %q or %q", drill.KindForecast, drill.KindDrill)
	}
	result, err := handle(service, request, requested)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

// drillHandler returns the handler that responds with the drill status that the method of Service returns.
func drillHandler(method func(service Service, ctx context.Context) (drill.Status, error)) handler {
	return func(service Service, request *http.Request) ([]byte, error) {
		status, err := method(service, request.Context())
		if err != nil {
			return nil, err
		}
		return json.Marshal(status)
	}
}
