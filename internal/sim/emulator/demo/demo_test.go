package demo

import (
	"bytes"
	"context"
	"io"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	programs := []string{"ferryspar/cmd/" + controlProgram, "ferryspar/cmd/" + dataProgram}
	arguments := append([]string{"build", "-buildvcs=false", "-o", folder}, programs...)
	built, err := exec.Command("go", arguments...).CombinedOutput()
	assert.NilError(t, err, "%s", built)
	return folder
}

func TestDemo_ServesEveryStreamAndCleansUp(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	planned, err := readPlan()
	assert.NilError(t, err)
	var table bytes.Buffer
	result, err := Run(ctx, Options{
		ProgramDir:    buildPrograms(t),
		ControlPlanes: 1,
		Streams:       len(planned.Streams),
		Out:           &table,
		Progress:      io.Discard,
	})
	assert.NilError(t, err, "%s", table.String())
	for number, served := range result.Streams {
		assert.Assert(t, served.Complete && served.Replica != "" && served.FirstEventMs > 0, "%+v", served)
		assert.Equal(t, served.Model, planned.Streams[number].Model)
	}
	assert.Equal(t, strings.Count(table.String(), "\n"), len(planned.Streams)+1)
	for _, address := range append(result.ControlPlanes, result.DataPlanes...) {
		assert.Assert(t, !isReady(ctx, address), "%s must no longer be ready", address)
	}
}

func TestDemo_NamesMissingPrograms(t *testing.T) {
	_, err := Run(t.Context(), Options{
		ProgramDir:    t.TempDir(),
		ControlPlanes: 1,
		Streams:       1,
		Out:           io.Discard,
		Progress:      io.Discard,
	})
	assert.ErrorContains(t, err, "build it beside this program")
}

func TestDemo_EndsOnInterrupt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	output := &outputWatcher{awaited: "Ctrl-C ends it", act: cancel}
	_, err := Run(ctx, Options{
		ProgramDir:    buildPrograms(t),
		ControlPlanes: 1,
		Streams:       1,
		KeepRunning:   true,
		Out:           io.Discard,
		Progress:      output,
	})
	assert.NilError(t, err)
	assert.Assert(t, ctx.Err() != nil, "Run must not return before the interrupt")
}

type outputWatcher struct {
	awaited string
	act     func()
}

func (t *outputWatcher) Write(content []byte) (int, error) {
	if bytes.Contains(content, []byte(t.awaited)) {
		t.act()
	}
	return len(content), nil
}
