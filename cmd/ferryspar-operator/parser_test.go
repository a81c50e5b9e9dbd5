package main

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/cli"
)

func TestParser_RunsConfigurationByItsFormerName(t *testing.T) {
	for _, name := range []string{"configuration", "layout"} {
		t.Run(name, func(t *testing.T) {
			controlPlane := startFakeControlPlane(t, http.StatusOK, map[string]int{"revision": 9})
			app, stdout := newTestApplication()
			parser, err := newParser(app)
			assert.NilError(t, err)
			assert.Assert(t, parser.Find(name) != nil)
			assert.Equal(t, parser.Find(name), parser.Find("configuration"))
			_, err = parser.ParseArgs([]string{"-c", controlPlane.address, name, "--keys"})
			assert.NilError(t, err)
			assert.DeepEqual(t, controlPlane.requests, []string{"GET /ferryspar/config "})
			assert.Equal(t, stdout.String(), `{"revision":9}`+"\n\n")
		})
	}
}

func TestParser_RejectsUnknownCommands(t *testing.T) {
	app, _ := newTestApplication()
	parser, err := newParser(app)
	assert.NilError(t, err)
	_, err = parser.ParseArgs([]string{"configure"})
	assert.Equal(t, exitStatus(err), cli.ExitUsage)
}
