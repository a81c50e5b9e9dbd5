package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/cli"
)

func TestStatus_RequiresAddress(t *testing.T) {
	app, _ := newTestApplication()
	assert.Equal(t, exitStatus((&statusCommand{app: app}).Execute(nil)), cli.ExitUsage)
}
