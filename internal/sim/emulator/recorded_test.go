package emulator

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/requestlog"
)

func TestWorld_ServesRecordedRequestsInOrder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day")
	file, err := os.Create(path)
	assert.NilError(t, err)
	writer := requestlog.NewWriter(file, 1<<20, time.Now)
	for number, route := range []string{"report", "quick", "quick", "elsewhere"} {
		writer.Write(requestlog.Entry{
			Kind:         requestlog.KindRequest,
			AtMs:         float64(4000 - 1000*number),
			AttemptID:    "a",
			Route:        route,
			Backend:      "b",
			Model:        "m",
			Prefix:       "aa:60,bb:40",
			PromptTokens: 100,
			OutputTokens: 5,
		})
	}
	assert.NilError(t, file.Close())
	scenario := sampleScenario(1)
	scenario.Traffic.Record = path
	world, err := NewWorld(scenario)
	assert.NilError(t, err)
	assert.Equal(t, len(world.calls), 4)
	assert.Equal(t, world.calls[3].class.Name, "report")
	assert.Equal(t, world.calls[3].request.At, 4*time.Second)
	result := world.Run()
	assert.Equal(t, result.Classes[0].InTime+result.Classes[1].InTime, 4)
	assert.NilError(t, os.WriteFile(path, []byte("{\n"), 0o600))
	_, err = NewWorld(scenario)
	assert.ErrorContains(t, err, "1 lines are damaged")
	scenario.Traffic.Record = path + "-missing"
	_, err = NewWorld(scenario)
	assert.ErrorContains(t, err, "traffic.record")
}
