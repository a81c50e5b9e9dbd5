package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
	"ferryspar/internal/retention"
	"ferryspar/internal/test/pinned"
)

func TestFleetStatus_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"status":                   new(FleetStatus),
		"change of the membership": new(MembershipChange),
	})
}

// fakeService responds to every call with a value whose fields are all set, and records the calls.
type fakeService struct{ calls []string }

func (s *fakeService) record(format string, arguments ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, arguments...))
}

// filled returns a value of the type with all its fields set.
func filled[T any]() T {
	var value T
	pinned.Fill(&value)
	return value
}

func (s *fakeService) ReplaceConfiguration(_ context.Context, expectedRevision int64, method string, body []byte) error {
	s.record("replace on %d by %s: %s", expectedRevision, method, body)
	return nil
}

func (s *fakeService) PatchConfiguration(_ context.Context, expectedRevision int64, method string, body []byte) error {
	s.record("patch on %d by %s: %s", expectedRevision, method, body)
	return nil
}

func (s *fakeService) ReadConfiguration(context.Context) (json.RawMessage, error) {
	return json.RawMessage(`{"revision":1}`), nil
}

func (s *fakeService) DrainZone(_ context.Context, zone string, drained bool, _ time.Time) error {
	s.record("drain %s: %v", zone, drained)
	return nil
}

func (s *fakeService) SetRetention(_ context.Context, policy retention.Policy) (retention.Policy, error) {
	s.record("life %d", policy.LifetimeMs)
	return filled[retention.Policy](), nil
}

func (s *fakeService) ReadRetention(context.Context) (retention.Policy, error) {
	return filled[retention.Policy](), nil
}

func (s *fakeService) StartPurge(_ context.Context, scope retention.Scope) (retention.Status, error) {
	s.record("forget %s %s", scope.Model, scope.PromptPart)
	return filled[retention.Status](), nil
}

func (s *fakeService) ReadPurges(context.Context) ([]retention.Status, error) {
	return []retention.Status{filled[retention.Status]()}, nil
}

func (s *fakeService) Forecast(_ context.Context, scope drill.Scope) (drill.Forecast, error) {
	s.record("forecast %s", scope)
	return filled[drill.Forecast](), nil
}

func (s *fakeService) StartDrill(_ context.Context, request drill.Request) (drill.Status, error) {
	s.record("drill %s %v %d", request.Scope, request.Share, request.DurationMs)
	return filled[drill.Status](), nil
}

func (s *fakeService) StopDrill(context.Context) (drill.Status, error) {
	s.record("stop drill")
	return filled[drill.Status](), nil
}

func (s *fakeService) ReadDrill(context.Context) (drill.Status, error) {
	return filled[drill.Status](), nil
}

func (s *fakeService) Status() FleetStatus { return filled[FleetStatus]() }

// exchange is one request, the calls of the service that it led to, and its response.
type exchange struct {
	Request  string            `json:"call"`
	Redirect bool              `json:"redirect,omitempty"`
	Status   int               `json:"status"`
	Headers  map[string]string `json:"headers"`
	Body     json.RawMessage   `json:"body,omitempty"`
	Calls    []string          `json:"asked,omitempty"`
}

const guardedAddress = "10.0.0.1:7100"

// exchangeWith sends one request to a new handler, and follows the redirect of a guarded endpoint.
func exchangeWith(t *testing.T, method, path, body string) exchange {
	t.Helper()
	service := &fakeService{}
	now := time.Unix(1000, 0)
	handler := NewHandler(service, NewReplayGuard(guardedAddress, func() time.Time { return now }))
	send := func(target string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, target, strings.NewReader(body))
		request.Header.Set("If-Match", `"41"`)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		return response
	}
	response := send(path)
	result := exchange{Request: strings.TrimSpace(method + " " + path + " " + body)}
	if response.Code == http.StatusTemporaryRedirect {
		result.Redirect = true
		token, found := strings.CutPrefix(response.Header().Get("Location"), "http://"+guardedAddress+path+"/")
		assert.Assert(t, found, response.Header().Get("Location"))
		response = send(path + "/" + token)
	}
	result.Status, result.Calls, result.Headers = response.Code, service.calls, map[string]string{}
	for name := range response.Header() {
		result.Headers[name] = response.Header().Get(name)
	}
	if response.Body.Len() > 0 {
		result.Body = response.Body.Bytes()
	}
	return result
}

func TestRoutes_PathsAndResponsesStayTheSame(t *testing.T) {
	var exchanges []exchange
	for _, testCase := range []struct{ method, path, body string }{
		{http.MethodPut, "/ferryspar/config", `{"revision":42}`},
		{http.MethodPatch, "/ferryspar/config", `{"revision":42,"upsert":{}}`},
		{http.MethodGet, "/ferryspar/config", ""},
		{http.MethodPost, "/ferryspar/drain-zone/north", ""},
		{http.MethodDelete, "/ferryspar/drain-zone/north", ""},
		{http.MethodGet, "/ferryspar/retention", ""},
		{http.MethodPut, "/ferryspar/retention", `{"lifeMs":90000}`},
		{http.MethodPut, "/ferryspar/retention", `{}`},
		{http.MethodGet, "/ferryspar/forget", ""},
		{http.MethodPost, "/ferryspar/forget", `{"model":"m","part":"ff"}`},
		{http.MethodPost, "/ferryspar/rehearsal", `{"kind":"forecast","scope":{"zone":"north"}}`},
		{http.MethodPost, "/ferryspar/rehearsal", `{"kind":"drill","scope":{"region":"east"},"share":0.25,"forMs":9000}`},
		{http.MethodPost, "/ferryspar/rehearsal", `{"kind":"other"}`},
		{http.MethodGet, "/ferryspar/rehearsal", ""},
		{http.MethodDelete, "/ferryspar/rehearsal", ""},
		{http.MethodGet, "/ferryspar/status", ""},
		{http.MethodGet, "/ferryspar/nothing", ""},
		{http.MethodPost, "/ferryspar/status", ""},
	} {
		exchanges = append(exchanges, exchangeWith(t, testCase.method, testCase.path, testCase.body))
	}
	pinned.CheckJSON(t, "testdata/exchanges.json", exchanges)
}

func TestRoutes_EndpointsStayTheSame(t *testing.T) {
	var lines []string
	for _, endpoint := range endpoints {
		lines = append(lines, fmt.Sprintf("%s %s guarded=%v", endpoint.method, endpoint.path, endpoint.guarded))
	}
	pinned.CheckJSON(t, "testdata/calls.json", lines)
}
