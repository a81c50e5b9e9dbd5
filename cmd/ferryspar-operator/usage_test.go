package main

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDrain_EscapesZoneInPath(t *testing.T) {
	controlPlane := startFakeControlPlane(t, http.StatusOK, struct{}{})
	app, _ := newTestApplication(controlPlane.address)
	command := &drainCommand{app: app, method: http.MethodPost}
	command.Args.Zone = "hall a/../b"
	assert.NilError(t, command.Execute(nil))
	assert.Equal(t, controlPlane.requests[0], "POST /ferryspar/drain-zone/hall a/../b ")
	assert.Equal(t, controlPlane.escapedPaths[0], "/ferryspar/drain-zone/hall%20a%2F..%2Fb")
}

func TestForget_WithoutScopeIsUsageError(t *testing.T) {
	app, _ := newTestApplication("127.0.0.1:1")
	command := &forgetCommand{app: app}
	assert.Equal(t, exitStatus(command.Execute(nil)), 2)
}
