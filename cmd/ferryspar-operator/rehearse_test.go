package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/cli"
	"ferryspar/internal/drill"
)

func captureOutput(t *testing.T, run func() error) (string, error) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	before := os.Stdout
	os.Stdout = writer
	runErr := run()
	os.Stdout = before
	writer.Close()
	content, _ := io.ReadAll(reader)
	return string(content), runErr
}

func serveAnswers(t *testing.T, status int, bodies ...any) *[]string {
	requests := &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		*requests = append(*requests, request.Method+" "+request.URL.Path+" "+string(body))
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(bodies[min(len(*requests), len(bodies))-1])
	}))
	t.Cleanup(server.Close)
	options = globalOptions{
		Control:           []string{strings.TrimPrefix(server.URL, "http://")},
		PerAddressTimeout: time.Second,
		Timeout:           5 * time.Second,
	}
	return requests
}

func exitStatus(err error) int {
	var exit exitError
	if err == nil {
		return 0
	}
	if errors.As(err, &exit) {
		return exit.status
	}
	return 1
}

func TestRehearse_PrintsForecast(t *testing.T) {
	forecast := drill.Forecast{
		Scope:    drill.Scope{Zone: "south"},
		Answered: []string{"one"},
		Routes: []drill.RouteForecast{{
			Name:          "quick",
			RouteCounts:   drill.RouteCounts{Sampled: 9, Moved: 4},
			FirstTokenNow: drill.Quantiles{Count: 9, P50: 80, P90: 90, P99: 99},
		}},
		LostModels: []drill.LostModel{{Backend: "scribes", Model: "rare", RatePerS: 1.5}},
		Cached:     map[string]drill.CachedTokens{"rare": {Lost: 300, OnlyInScope: 200}},
	}
	calls := serveAnswers(t, http.StatusOK, forecast)
	shown, err := captureOutput(t, func() error { return (&rehearseCommand{Zone: "south"}).Execute(nil) })
	assert.Equal(t, exitStatus(err), 0)
	assert.DeepEqual(t, *calls, []string{`POST /ferryspar/rehearsal {"kind":"forecast","zone":"south"}`})
	for _, wanted := range []string{"zone south", "80/90/99", "rare", "1.50"} {
		assert.Assert(t, strings.Contains(shown, wanted), "%s in %s", wanted, shown)
	}
	forecast.Partial, forecast.Missing = true, []string{"two"}
	serveAnswers(t, http.StatusOK, forecast)
	shown, err = captureOutput(t, func() error { return (&rehearseCommand{Zone: "south", Forecast: true}).Execute(nil) })
	assert.Equal(t, exitStatus(err), exitPartial)
	assert.Assert(t, strings.Contains(shown, "PARTIAL: no answer from two"), shown)
}

func TestRehearse_DrillExitStatus(t *testing.T) {
	command := rehearseCommand{Drill: true, Share: 0.1, For: time.Minute, Margin: 0.1, Watch: true}
	command.Args.Region = "far"
	running := drill.Status{Record: drill.Record{Number: 3, Running: true}, DataPlanes: map[string]string{"one": drill.DataPlaneSilent}}
	good := drill.Status{Record: drill.Record{Number: 3, EndReason: drill.EndedByTime}}
	guarded := drill.Status{Record: drill.Record{Number: 3, EndReason: "late", EndedByGuard: true}}
	cases := []struct {
		code, exit int
		last       drill.Status
		shows      string
	}{
		{http.StatusOK, 0, good, "ended: time is up"},
		{http.StatusOK, exitGuard, guarded, "ended: late"},
		{http.StatusConflict, exitRejected, good, ""},
		{http.StatusNotFound, exitRejected, good, ""},
	}
	for _, testCase := range cases {
		serveAnswers(t, testCase.code, running, testCase.last)
		shown, err := captureOutput(t, func() error { return command.Execute(nil) })
		assert.Equal(t, exitStatus(err), testCase.exit, "%d: %v", testCase.code, err)
		assert.Assert(t, strings.Contains(shown, testCase.shows), shown)
	}
	assert.Equal(t, exitStatus((&rehearseCommand{}).Execute(nil)), cli.ExitUsage, "neither region nor zone")
	calls := serveAnswers(t, http.StatusOK, good)
	_, err := captureOutput(t, func() error { return (&rehearseCommand{Stop: true}).Execute(nil) })
	assert.NilError(t, err)
	assert.DeepEqual(t, *calls, []string{"DELETE /ferryspar/rehearsal "})
}
