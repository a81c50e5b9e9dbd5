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

func TestFleet_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"status":                   new(FleetStatus),
		"change of the membership": new(MembershipChange),
	})
}

// filledState answers every call with values that are filled in, and notes what it was asked.
type filledState struct{ asked []string }

func (s *filledState) note(format string, arguments ...any) {
	s.asked = append(s.asked, fmt.Sprintf(format, arguments...))
}

func filled[T any]() T {
	var value T
	pinned.Fill(&value)
	return value
}

func (s *filledState) ReplaceConfiguration(_ context.Context, condition int64, method string, body []byte) error {
	s.note("replace on %d by %s: %s", condition, method, body)
	return nil
}

func (s *filledState) PatchConfiguration(_ context.Context, condition int64, method string, body []byte) error {
	s.note("patch on %d by %s: %s", condition, method, body)
	return nil
}

func (s *filledState) ReadConfiguration(context.Context) (json.RawMessage, error) {
	return json.RawMessage(`{"revision":1}`), nil
}

func (s *filledState) DrainZone(_ context.Context, zone string, drained bool, _ time.Time) error {
	s.note("drain %s: %v", zone, drained)
	return nil
}

func (s *filledState) SetRetention(_ context.Context, wanted retention.Policy) (retention.Policy, error) {
	s.note("life %d", wanted.LifetimeMs)
	return filled[retention.Policy](), nil
}

func (s *filledState) ReadRetention(context.Context) (retention.Policy, error) {
	return filled[retention.Policy](), nil
}

func (s *filledState) StartPurge(_ context.Context, scope retention.Scope) (retention.Status, error) {
	s.note("forget %s %s", scope.Model, scope.PromptPart)
	return filled[retention.Status](), nil
}

func (s *filledState) ReadPurges(context.Context) ([]retention.Status, error) {
	return []retention.Status{filled[retention.Status]()}, nil
}

func (s *filledState) Forecast(_ context.Context, scope drill.Scope) (drill.Forecast, error) {
	s.note("forecast %s", scope)
	return filled[drill.Forecast](), nil
}

func (s *filledState) StartDrill(_ context.Context, request drill.Request) (drill.Status, error) {
	s.note("drill %s %v %d", request.Scope, request.Share, request.ForMs)
	return filled[drill.Status](), nil
}

func (s *filledState) StopDrill(context.Context) (drill.Status, error) {
	s.note("stop drill")
	return filled[drill.Status](), nil
}

func (s *filledState) ReadDrill(context.Context) (drill.Status, error) {
	return filled[drill.Status](), nil
}

func (s *filledState) Status() FleetStatus { return filled[FleetStatus]() }

// exchange is one call and its answer, as they go over the wire.
type exchange struct {
	Call     string            `json:"call"`
	Redirect bool              `json:"redirect,omitempty"`
	Status   int               `json:"status"`
	Headers  map[string]string `json:"headers"`
	Body     json.RawMessage   `json:"body,omitempty"`
	Asked    []string          `json:"asked,omitempty"`
}

const guardedAddress = "10.0.0.1:7100"

// exchangeWith makes one call, and follows it where it is sent back with a token.
func exchangeWith(t *testing.T, method, path, body string) exchange {
	t.Helper()
	state := &filledState{}
	now := time.Unix(1000, 0)
	handler := NewHandler(state, NewReplayGuard(guardedAddress, func() time.Time { return now }))
	ask := func(target string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, target, strings.NewReader(body))
		request.Header.Set("If-Match", `"41"`)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder
	}
	answer := ask(path)
	made := exchange{Call: strings.TrimSpace(method + " " + path + " " + body)}
	if answer.Code == http.StatusTemporaryRedirect {
		made.Redirect = true
		token, found := strings.CutPrefix(answer.Header().Get("Location"), "http://"+guardedAddress+path+"/")
		assert.Assert(t, found, answer.Header().Get("Location"))
		answer = ask(path + "/" + token)
	}
	made.Status, made.Asked, made.Headers = answer.Code, state.asked, map[string]string{}
	for name := range answer.Header() {
		made.Headers[name] = answer.Header().Get(name)
	}
	if answer.Body.Len() > 0 {
		made.Body = answer.Body.Bytes()
	}
	return made
}

func TestRoutes_PathsAndAnswersStayTheSame(t *testing.T) {
	var made []exchange
	for _, one := range []struct{ method, path, body string }{
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
		made = append(made, exchangeWith(t, one.method, one.path, one.body))
	}
	pinned.CheckJSON(t, "testdata/exchanges.json", made)
}

func TestRoutes_TableOfCallsStaysTheSame(t *testing.T) {
	var told []string
	for _, one := range endpoints {
		told = append(told, fmt.Sprintf("%s %s guarded=%v", one.method, one.path, one.guarded))
	}
	pinned.CheckJSON(t, "testdata/calls.json", told)
}
