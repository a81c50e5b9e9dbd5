package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/cli"
	"ferryspar/internal/drill"
)

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
	controlPlane := startFakeControlPlane(t, http.StatusOK, forecast)
	app, stdout := newTestApplication(controlPlane.address)
	err := (&rehearseCommand{app: app, Zone: "south"}).Execute(nil)
	assert.Equal(t, exitStatus(err), cli.ExitSuccess)
	assert.DeepEqual(t, controlPlane.requests, []string{`POST /ferryspar/rehearsal {"kind":"forecast","zone":"south"}`})
	for _, expected := range []string{"zone south", "80/90/99", "rare", "1.50"} {
		assert.Assert(t, strings.Contains(stdout.String(), expected), "%s in %s", expected, stdout)
	}
	forecast.Partial, forecast.Missing = true, []string{"two"}
	app, stdout = newTestApplication(startFakeControlPlane(t, http.StatusOK, forecast).address)
	err = (&rehearseCommand{app: app, Zone: "south", Forecast: true}).Execute(nil)
	assert.Equal(t, exitStatus(err), exitPartial)
	assert.Assert(t, strings.Contains(stdout.String(), "PARTIAL: no answer from two"), stdout)
}

func TestRehearse_DrillExitStatus(t *testing.T) {
	command := rehearseCommand{Drill: true, Share: 0.1, Duration: time.Minute, Margin: 0.1, Watch: true}
	command.Args.Region = "far"
	running := drill.Status{
		Record:     drill.Record{Number: 3, Running: true},
		DataPlanes: map[string]string{"one": drill.DataPlaneSilent},
	}
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
		app, stdout := newTestApplication(startFakeControlPlane(t, testCase.code, running, testCase.last).address)
		command.app = app
		err := command.Execute(nil)
		assert.Equal(t, exitStatus(err), testCase.exit, "%d: %v", testCase.code, err)
		assert.Assert(t, strings.Contains(stdout.String(), testCase.shows), stdout)
	}
	controlPlane := startFakeControlPlane(t, http.StatusOK, good)
	app, _ := newTestApplication(controlPlane.address)
	assert.Equal(t, exitStatus((&rehearseCommand{app: app}).Execute(nil)), cli.ExitUsage, "neither region nor zone")
	assert.NilError(t, (&rehearseCommand{app: app, Stop: true}).Execute(nil))
	assert.DeepEqual(t, controlPlane.requests, []string{"DELETE /ferryspar/rehearsal "})
}
