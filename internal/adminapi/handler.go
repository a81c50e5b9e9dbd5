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

// Service is what calls are carried out on. Its methods may be called from any goroutine; their errors are
// of package apierror.
type Service interface {
	ReplaceConfiguration(ctx context.Context, condition int64, method string, body []byte) error
	PatchConfiguration(ctx context.Context, condition int64, method string, body []byte) error
	ReadConfiguration(ctx context.Context) (json.RawMessage, error)
	// DrainZone starts nothing from the deadline on.
	DrainZone(ctx context.Context, zone string, drained bool, deadline time.Time) error
	SetRetention(ctx context.Context, wanted retention.Policy) (retention.Policy, error)
	ReadRetention(ctx context.Context) (retention.Policy, error)
	StartPurge(ctx context.Context, scope retention.Scope) (retention.Status, error)
	ReadPurges(ctx context.Context) ([]retention.Status, error)
	Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error)
	StartDrill(ctx context.Context, request drill.Request) (drill.Status, error)
	StopDrill(ctx context.Context) (drill.Status, error)
	ReadDrill(ctx context.Context) (drill.Status, error)
	Status() FleetStatus
}

type handler func(state Service, request *http.Request) ([]byte, error)

// endpoint is one row of the table of calls. A guarded one changes something and names no version
// that it builds on; see ReplayGuard.
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
	{method: http.MethodGet, path: PathPurges, handle: readForgets},
	{method: http.MethodPost, path: PathPurges, handle: forget, guarded: true},
	{method: http.MethodPost, path: PathRehearsal, handle: startRehearsal, guarded: true},
	{method: http.MethodGet, path: PathRehearsal, handle: drillHandler(Service.ReadDrill)},
	{method: http.MethodDelete, path: PathRehearsal, handle: drillHandler(Service.StopDrill), guarded: true},
	{method: http.MethodGet, path: PathStatus, handle: readStatus},
}

// NewHandler returns the handler of the admin API on a state.
func NewHandler(state Service, guard *ReplayGuard) http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		apierror.Write(writer, apierror.New(apierror.UnknownPath, "%s", request.URL.Path))
	})
	router.MethodNotAllowed(func(writer http.ResponseWriter, request *http.Request) {
		apierror.Write(writer, apierror.New(apierror.MethodNotAllowed, "%s", request.Method))
	})
	for _, endpoint := range endpoints {
		if !endpoint.guarded {
			router.MethodFunc(endpoint.method, endpoint.path, endpoint.serve(state))
			continue
		}
		router.MethodFunc(endpoint.method, endpoint.path, func(writer http.ResponseWriter, request *http.Request) {
			redirect(writer, guard.Location(request.Method, request.URL.EscapedPath()))
		})
		router.MethodFunc(endpoint.method, endpoint.path+"/{token}", guard.admit(endpoint.serve(state)))
	}
	return router
}

// serve returns the handler of an endpoint. A response without a document is "{}".
func (e endpoint) serve(state Service) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		content, err := e.handle(state, request)
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

// maxDocumentBytes is the size of the largest configuration that is read.
const maxDocumentBytes = 32 << 20

// readDocument reads a document and the version that it builds on.
func readDocument(request *http.Request) (int64, []byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, maxDocumentBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return 0, nil, apierror.New(apierror.BodyTooLarge, "")
	}
	if err != nil {
		return 0, nil, apierror.New(apierror.MalformedRequest, "body broke off")
	}
	stated := strings.Trim(strings.TrimSpace(request.Header.Get("If-Match")), `"`)
	condition, err := strconv.ParseInt(stated, 10, 64)
	if err != nil {
		return 0, nil, apierror.New(apierror.MalformedRequest, "If-Match must name the version it builds on")
	}
	return condition, body, nil
}

func replaceConfiguration(state Service, request *http.Request) ([]byte, error) {
	condition, body, err := readDocument(request)
	if err != nil {
		return nil, err
	}
	return nil, state.ReplaceConfiguration(request.Context(), condition, request.Method, body)
}

func patchConfiguration(state Service, request *http.Request) ([]byte, error) {
	condition, body, err := readDocument(request)
	if err != nil {
		return nil, err
	}
	return nil, state.PatchConfiguration(request.Context(), condition, request.Method, body)
}

func readConfiguration(state Service, request *http.Request) ([]byte, error) {
	return state.ReadConfiguration(request.Context())
}

func drainZone(drained bool) handler {
	return func(state Service, request *http.Request) ([]byte, error) {
		zone, err := httppath.Parameter(request, "zone")
		if err != nil {
			return nil, err
		}
		return nil, state.DrainZone(request.Context(), zone, drained, callDeadline(request.Context()))
	}
}
