package experiment

import (
	"io"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/sim/emulator"
)

func TestCompare_ChecksDaemonForecastAgainstLoss(t *testing.T) {
	busier := strings.NewReplacer("perS = 6", "perS = 30", "retryCount = 2", "retryCount = 2\nresumable = true")
	configuration, err := Parse([]byte(busier.Replace(smallExperiment)))
	assert.NilError(t, err)
	configuration.Seeds = 4
	sound := emulator.ForecastByMatchers(configuration.AfterS)
	found, err := CompareForecasts(t.Context(), configuration, []int{1}, map[string]emulator.Forecaster{
		"sound": sound,
		"broken": func(before emulator.Snapshot) emulator.Forecast {
			before.Loss.Zone = "elsewhere"
			return sound(before)
		},
	}, 4, io.Discard)
	assert.NilError(t, err)
	byName := map[string]Comparison{}
	for _, comparison := range found {
		byName[comparison.Method+" "+comparison.Figure] = comparison
	}
	for _, name := range []string{emulator.FigurePlaced, emulator.FigureInterrupted, figurePerReplica} {
		correct := byName["sound "+name]
		broken := byName["broken "+name]
		assert.Assert(t, correct.MeanTruth.Mean > 0, name)
		assert.Assert(t, !slices.Contains(correct.Flags, flagBiased), "%s: %+v", name, correct)
		assert.Assert(t, slices.Contains(broken.Flags, flagBiased), "%s: %+v", name, broken)
		assert.Assert(t, correct.AbsoluteError.Mean < broken.AbsoluteError.Mean, name)
	}
	warm := byName["broken "+emulator.FigureLostCachedTokens]
	assert.Equal(t, warm.RelativeError.Mean, 1.0)
	assert.DeepEqual(t, warm.Flags, []string{flagBiased, flagWorse})
	names := []string{
		emulator.AfterLossLate + overPeriod + "the first 5 s",
		emulator.BeforeLossP50,
		emulator.AfterLossP90 + overPeriod + "the rest of the loss",
	}
	for _, name := range names {
		assert.Equal(t, len(byName["sound quick: "+name].Forecast), configuration.Seeds, name)
	}
}
