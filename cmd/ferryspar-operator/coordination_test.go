package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/coordination"
)

var testItems = json.RawMessage(`{"items":[{"kind":"lock","name":"l1","owner":"10.0.0.1:7000","bytes":40},
	{"kind":"number","name":"n","owner":"10.0.0.2:7000","bytes":15}],"watches":{"g.":3}}`)

func TestItemsCommand_ListsOneKind(t *testing.T) {
	controlPlane := startFakeControlPlane(t, http.StatusOK, testItems)
	app, printed := newTestApplication(controlPlane.address)
	assert.NilError(t, (&itemsCommand{app: app, kind: coordination.KindLock}).Execute(nil))
	assert.Assert(t, strings.Contains(printed.String(), "l1") && !strings.Contains(printed.String(), "10.0.0.2"), printed.String())
}

func TestItemsCommand_ShowsOneItem(t *testing.T) {
	for _, example := range []struct {
		kind              coordination.Kind
		response, printed string
	}{
		{coordination.KindLock, `{"name":"l","lock":{"holder":"a3","fence":7,"heldMs":10,"remainingMs":900}}`, "held by a3 with fence 7"},
		{coordination.KindLock, `{"name":"l","lock":{"holder":"","fence":7}}`, "free, last fence 7"},
		{coordination.KindCounter, `{"name":"n","number":41}`, "last number 41"},
		{coordination.KindGroup, `{"name":"g.","group":{"revision":9,"floor":4,"keys":3,"events":5,"bytes":70}}`, "revision 9, 3 keys"},
	} {
		controlPlane := startFakeControlPlane(t, http.StatusOK, json.RawMessage(example.response))
		app, printed := newTestApplication(controlPlane.address)
		command := &itemsCommand{app: app, kind: example.kind}
		command.Args.Name = "with space"
		assert.NilError(t, command.Execute(nil))
		assert.Assert(t, strings.Contains(printed.String(), example.printed), printed.String())
		assert.DeepEqual(t, controlPlane.escapedPaths, []string{"/ferryspar/coordination/" + string(example.kind) + "/with%20space"})
	}
}

func TestItemsCommand_ReturnsErrorForUnknownName(t *testing.T) {
	controlPlane := startFakeControlPlane(t, http.StatusBadRequest, json.RawMessage(`{"error":"malformed request"}`))
	app, _ := newTestApplication(controlPlane.address)
	command := &itemsCommand{app: app, kind: coordination.KindLock}
	command.Args.Name = "l"
	assert.ErrorContains(t, command.Execute(nil), "malformed request")
}

func TestReleaseLockCommand_PrintsNewFence(t *testing.T) {
	controlPlane := startFakeControlPlane(t, http.StatusOK, json.RawMessage(`{"fenceToken":8}`))
	app, printed := newTestApplication(controlPlane.address)
	command := &releaseLockCommand{app: app}
	command.Args.Name = "l"
	assert.NilError(t, command.Execute(nil))
	assert.DeepEqual(t, controlPlane.requests, []string{"DELETE /ferryspar/coordination/lock/l "})
	assert.Assert(t, strings.Contains(printed.String(), "its fence is 8 now"), printed.String())
}

func TestWatchersCommand_QueriesEachControlPlane(t *testing.T) {
	controlPlane := startFakeControlPlane(t, http.StatusOK, testItems)
	app, printed := newTestApplication(controlPlane.address, controlPlane.address)
	assert.NilError(t, (&watchersCommand{app: app}).Execute(nil))
	assert.Equal(t, len(controlPlane.requests), 2)
	assert.Equal(t, strings.Count(printed.String(), "g."), 2, printed.String())
	app, _ = newTestApplication()
	assert.ErrorIs(t, (&watchersCommand{app: app}).Execute(nil), errNoControlPlane)
}
