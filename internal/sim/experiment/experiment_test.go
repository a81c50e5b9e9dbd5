package experiment

import (
	"bytes"
	"encoding/json"
	"image/png"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const smallExperiment = `
name = "small"
seeds = 3
afterS = 10
[scenario]
lengthS = 30
warmS = 4
zones = [
  { name = "a", region = "one", dataPlanes = 1, replicas = 3, clients = 1.0 },
  { name = "b", region = "two", dataPlanes = 1, replicas = 3, clients = 1.0 },
]
losses = [{ zone = "b", atS = 20 }]
models = { count = 4, perReplica = 2, adapters = 0 }
traffic = { perS = 6, burstFactor = 1, turns = 2, thinkS = 2 }
parameters = { batchWait = "5ms", delta = 0.6 }
[[scenario.classes]]
name = "quick"
share = 1.0
aimMs = 600
timeoutMs = 15000
tokenGapMs = 300
retryCount = 2
tries = 3
prompt = { median = 300, sigma = 0.5, most = 1000 }
output = { median = 20, sigma = 0.5, most = 60 }
[[variants]]
name = "given"
[[variants]]
name = "spare"
[variants.set]
spareReplicas = 1
parameters.delta = 0.8
`

func TestConfiguration_VariantsChangeOnlyWhatTheyName(t *testing.T) {
	configuration, err := Parse([]byte(smallExperiment))
	assert.NilError(t, err)
	given, spare := configuration.Scenarios[0], configuration.Scenarios[1]
	assert.Equal(t, given.Parameters.QualityWeight, 0.6)
	assert.Equal(t, spare.Parameters.QualityWeight, 0.8)
	assert.Equal(t, spare.Parameters.BatchWait.String(), "5ms")
	assert.Equal(t, spare.SpareReplicas, 1)
	spare.SpareReplicas = given.SpareReplicas
	spare.Parameters.QualityWeight = given.Parameters.QualityWeight
	assert.DeepEqual(t, given, spare)
}

func TestConfiguration_NamesFaultsOfInvalidFiles(t *testing.T) {
	cases := map[string][3]string{
		"unknown key":      {"lengthS = 30", "length = 30", "has unknown keys: length"},
		"unknown in list":  {"replicas = 3, clients", "copies = 3, clients", "copies"},
		"unknown in set":   {"spareReplicas = 1", "spares = 1", "unknown keys: spares"},
		"bad value":        {"warmS = 4", "warmS = 40", "warmS must be"},
		"wrong kind":       {"seeds = 3", `seeds = "three"`, "seeds"},
		"unknown zone":     {`zone = "b", atS`, `zone = "c", atS`, `unknown zone "c"`},
		"a variant twice":  {`name = "spare"`, `name = "given"`, "stands twice"},
		"variant is named": {"spareReplicas = 1", "spareReplicas = -1", `variant "spare"`},
		"no TOML":          {"name = \"small\"", "name = ", "cannot be read"},
	}
	for name, test := range cases {
		_, err := Parse([]byte(strings.Replace(smallExperiment, test[0], test[1], 1)))
		assert.ErrorContains(t, err, test[2], name)
	}
}

func TestRun_ParallelRunsGiveSameBytes(t *testing.T) {
	summaryJSON := func(parallelism int) string {
		configuration, err := Parse([]byte(smallExperiment))
		assert.NilError(t, err)
		all, err := Run(t.Context(), configuration, parallelism, io.Discard)
		assert.NilError(t, err)
		content, err := json.Marshal(Summarize(configuration, all))
		assert.NilError(t, err)
		return string(content)
	}
	assert.Assert(t, summaryJSON(1) == summaryJSON(4))
}

func TestWrite_TableAndPlots(t *testing.T) {
	configuration, err := Parse([]byte(smallExperiment))
	assert.NilError(t, err)
	all, err := Run(t.Context(), configuration, 2, io.Discard)
	assert.NilError(t, err)
	directory := t.TempDir()
	assert.NilError(t, Summarize(configuration, all).Write(directory, all, true))
	plots := []string{
		"in-time-quick", "first-token-quick", "pauses-quick", "refusals-quick",
		"queues", "running", "warm-tokens", "loads",
	}
	for _, name := range plots {
		file, err := os.Open(filepath.Join(directory, name+".png"))
		assert.NilError(t, err)
		drawn, err := png.Decode(file)
		assert.NilError(t, err, name)
		assert.Assert(t, drawn.Bounds().Dx() > 300, name)
		assert.NilError(t, file.Close())
	}
	table, err := os.ReadFile(filepath.Join(directory, "table.txt"))
	assert.NilError(t, err)
	for _, row := range []string{"quick, loss: share in time", "warm tokens lost", "emulated"} {
		assert.Assert(t, bytes.Contains(table, []byte(row)), row)
	}
}

func TestSummary_UsesStudentsInterval(t *testing.T) {
	found := estimate([]float64{1, 2, 3, 4})
	assert.Equal(t, found.Mean, 2.5)
	assert.Assert(t, math.Abs(found.HalfWidth-2.0543) < 0.001, "%f", found.HalfWidth)
	assert.Equal(t, estimate([]float64{7}), Estimate{Mean: 7})
}
