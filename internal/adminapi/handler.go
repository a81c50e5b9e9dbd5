package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/drill"
	"ferryspar/internal/httppath"
	"ferryspar/internal/retention"
)

// Service carries out the requests of the admin API. Its methods are safe for concurrent use; their errors are of
// package apierror. A change of the configuration is accepted only if its current revision is expectedRevision.
type Service interface {
	ReplaceConfiguration(ctx context.Context, expectedRevision int64, method string, body []byte) error
	PatchConfiguration(ctx context.Context, expectedRevision int64, method string, body []byte) error
	ReadConfiguration(ctx context.Context) (json.RawMessage, error)
	// DrainZone sets or lifts the draining of a zone. It doesn't start the change at or after the deadline.
	DrainZone(ctx context.Context, zone string, drained bool, deadline time.Time) error
	SetRetention(ctx context.Context, policy retention.Policy) (retention.Policy, error)
	ReadRetention(ctx context.Context) (retention.Policy, error)
	StartPurge(ctx context.Context, scope retention.Scope) (retention.Status, error)
	ReadPurges(ctx context.Context) ([]retention.Status, error)
	Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error)
	StartDrill(ctx context.Context, request drill.Request) (drill.Status, error)
	StopDrill(ctx context.Context) (drill.Status, error)
	ReadDrill(ctx context.Context) (drill.Status, error)
	Status() FleetStatus
}

// handler carries out one kind of request and returns the JSON body of the response, or nil for none.
type handler func(service Service, request *http.Request) ([]byte, error)

// endpoint is one method of the admin API. A guarded endpoint makes a change that names no expected version, so it
// needs a token; see ReplayGuard.
type endpoint struct {
	method  string
	path    string
	handle  handler
	guarded bool
}

var endpoints = []endpoint{
	{method: http.MethodPut, path: PathConfiguration, handle: replaceConfiguration},
	{method: http.MethodPatch, path: PathConfiguration, handle: patchConfiguration},
	{method: http.MethodGet, path: PathConfiguration, handle: readConfiguration},
	{method: http.MethodPost, path: PathDrainZone + "{zone}", handle: drainZone(true), guarded: true},
	{method: http.MethodDelete, path: PathDrainZone + "{zone}", handle: drainZone(false), guarded: true},
	{method: http.MethodGet, path: PathRetention, handle: readRetention},
	{method: http.MethodPut, path: PathRetention, handle: setRetention, guarded: true},
	{method: http.MethodGet, path: PathPurges, handle: readPurges},
	{method: http.MethodPost, path: PathPurges, handle: startPurge, guarded: true},
	{method: http.MethodPost, path: PathRehearsal, handle: startRehearsal, guarded: true},
	{method: http.MethodGet, path: PathRehearsal, handle: drillHandler(Service.ReadDrill)},
	{method: http.MethodDelete, path: PathRehearsal, handle: drillHandler(Service.StopDrill), guarded: true},
	{method: http.MethodGet, path: PathStatus, handle: readStatus},
}

// NewHandler returns the HTTP handler of the admin API, which passes requests to the service.
func NewHandler(service Service, guard *ReplayGuard) http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		apierror.Write(writer, apierror.New(apierror.UnknownPath, "%s", request.URL.Path))
	})
	router.MethodNotAllowed(func(writer http.ResponseWriter, request *http.Request) {
		apierror.Write(writer, apierror.New(apierror.MethodNotAllowed, "%s", request.Method))
	})
	for _, endpoint := range endpoints {
		if !endpoint.guarded {
			router.MethodFunc(endpoint.method, endpoint.path, endpoint.serve(service))
			continue
		}
		router.MethodFunc(endpoint.method, endpoint.path, func(writer http.ResponseWriter, request *http.Request) {
			redirect(writer, guard.Location(request.Method, request.URL.EscapedPath()))
		})
		router.MethodFunc(endpoint.method, endpoint.path+"/{token}", guard.requireToken(endpoint.serve(service)))
	}
	return router
}

// serve returns the HTTP handler of an endpoint. The body of a response is "{}" if the endpoint has none.
func (e endpoint) serve(service Service) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		content, err := e.handle(service, request)
		if err != nil {
			apierror.Write(writer, err)
			return
		}
		if len(content) == 0 {
			content = []byte("{}")
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content)
	}
}

// maxConfigurationBytes limits the body of a change of the configuration.
const maxConfigurationBytes = 32 << 20

// readChange returns the revision that a change of the configuration expects (If-Match), and its body.
func readChange(request *http.Request) (int64, []byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, maxConfigurationBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return 0, nil, apierror.New(apierror.BodyTooLarge, "")
	}
	if err != nil {
		return 0, nil, apierror.New(apierror.MalformedRequest, "body broke off")
	}
	entityTag := strings.Trim(strings.TrimSpace(request.Header.Get("If-Match")), `"`)
	expectedRevision, err := strconv.ParseInt(entityTag, 10, 64)
	if err != nil {
		return 0, nil, apierror.New(apierror.MalformedRequest, "If-Match must name the version it builds on")
	}
	return expectedRevision, body, nil
}

func replaceConfiguration(service Service, request *http.Request) ([]byte, error) {
	expectedRevision, body, err := readChange(request)
	if err != nil {
		return nil, err
	}
	return nil, service.ReplaceConfiguration(request.Context(), expectedRevision, request.Method, body)
}

func patchConfiguration(service Service, request *http.Request) ([]byte, error) {
	expectedRevision, body, err := readChange(request)
	if err != nil {
		return nil, err
	}
	return nil, service.PatchConfiguration(request.Context(), expectedRevision, request.Method, body)
}

func readConfiguration(service Service, request *http.Request) ([]byte, error) {
	return service.ReadConfiguration(request.Context())
}

// drainZone returns the handler that sets or lifts the draining of the zone in the path.
func drainZone(drained bool) handler {
	return func(service Service, request *http.Request) ([]byte, error) {
		zone, err := httppath.Parameter(request, "zone")
		if err != nil {
			return nil, err
		}
		return nil, service.DrainZone(request.Context(), zone, drained, callDeadline(request.Context()))
	}
}
