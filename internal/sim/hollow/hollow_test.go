package hollow

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	if IsChild() {
		if ServeChild(os.Stdin, os.Stdout) != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func smallPlan() Plan {
	plan := FullSize{DataPlanes: 380, Replicas: 720, Models: 480, Adapters: 1100, Routes: 350}.Scaled(6)
	plan.Members = 3
	plan.ModelsPerReplica = 2
	plan.Slots = 16
	plan.RequestsPerS = 5
	plan.StreamLength = 200 * time.Millisecond
	plan.Events = 2
	plan.Tokens = 100
	plan.Processors, plan.Processes = 1, 1
	return plan
}

func TestRun_AppliesEveryConfigurationAndCleansUp(t *testing.T) {
	var progress bytes.Buffer
	bounded, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	result, err := Run(bounded, smallPlan(), Options{
		Window:         500 * time.Millisecond,
		ChangeInterval: 500 * time.Millisecond,
		StableAfter:    300 * time.Millisecond,
		MemoryMb:       2000,
		Failures:       []string{FailureZone},
		FailureLength:  500 * time.Millisecond,
		FillTimeout:    10 * time.Second,
		Progress:       &progress,
	})

	assert.NilError(t, err, progress.String())
	assert.Equal(t, result.Ready.Count, int64(6))
	assert.Assert(t, result.Changes.Made > 0)
	assert.Equal(t, result.Changes.Missed, 0)
	assert.Equal(t, result.Changes.InForce.Count, int64(6*result.Changes.Made))
	assert.Assert(t, result.Requests.Complete > 0)
	assert.Equal(t, len(result.Phases), 5)
	rates := map[string]float64{}
	for _, phase := range result.Phases[1:] {
		assert.Equal(t, phase.Roles[roleData].Nodes+phase.Roles[roleAlone].Nodes, 6)
		assert.Assert(t, phase.Roles[roleHolder] != nil)
		for _, role := range phase.Roles {
			for path, call := range role.Calls {
				rates[path] += call.PerS
			}
		}
	}
	for _, path := range []string{"/partner/news", "/partner/pressure", "/partner/keystore", "/partner/greet", "/replicas"} {
		assert.Assert(t, rates[path] > 0, path)
	}
	busy := result.Phases[3]
	assert.Assert(t, busy.Roles[roleMember].MessagesIn > 0)
	assert.Equal(t, result.Failures[0].DataPlanes, 1)
	assert.Equal(t, result.Failures[0].Ready.Count, int64(1))
	assert.Equal(t, result.Failures[0].ChangeOutcome, "in force at all spared nodes")
	_, err = os.Stat(result.Plan.Directory)
	assert.Assert(t, os.IsNotExist(err), "temporary directory was not removed")
}

func TestRun_ReturnsErrorAboveMemoryLimit(t *testing.T) {
	plan := smallPlan()
	plan.DataPlanes = 1

	_, err := Run(t.Context(), plan, Options{MemoryMb: 0.5, Progress: io.Discard})

	assert.ErrorContains(t, err, "more than the 0 MB allowed")
}

func TestPlan_RejectsValuesOutOfRange(t *testing.T) {
	plan := smallPlan()
	plan.Members, plan.DataPlanes = 4, 0

	assert.Error(t, plan.Check(), "data planes must be 1 to 1000; members must be 3 or 5")
}

func TestReadBenchmarks_FitsExponents(t *testing.T) {
	output := "goos: linux\nBenchmarkHear/edges=8-4  100  1000 ns/op  64 B/op\n" +
		"BenchmarkHear/edges=80-4  100  100000 ns/op  640 B/op\nPASS\n"

	slopes, err := ReadBenchmarks(strings.NewReader(output))

	assert.NilError(t, err)
	assert.Equal(t, len(slopes), 2)
	assert.Equal(t, slopes[0].Figure, "ns/op")
	assert.Assert(t, slopes[0].Exponent > 1.999 && slopes[0].Exponent < 2.001)
	assert.Assert(t, slopes[1].Exponent > 0.999 && slopes[1].Exponent < 1.001)
	_, err = ReadBenchmarks(strings.NewReader("PASS\n"))
	assert.ErrorContains(t, err, "no benchmark lines")
}
