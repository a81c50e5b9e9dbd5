package experiment

import (
	"encoding/json"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/sim/emulator"
)

func compareByName(t *testing.T, forecaster emulator.Forecaster) map[string]Comparison {
	t.Helper()
	configuration, err := Parse([]byte(smallExperiment))
	assert.NilError(t, err)
	found, err := CompareForecasts(
		t.Context(), configuration, []int{1, 2}, map[string]emulator.Forecaster{"tried": forecaster}, 4, io.Discard,
	)
	assert.NilError(t, err)
	byName := map[string]Comparison{}
	for _, comparison := range found {
		if comparison.Size == 2 {
			byName[comparison.Method+" "+comparison.Figure] = comparison
		}
	}
	return byName
}

func TestCompare_MeasuresForecastErrorAndFlagsBrokenForecast(t *testing.T) {
	sound := compareByName(t, emulator.ForecastByLoadReports)
	broken := compareByName(t, func(before emulator.Snapshot) emulator.Forecast {
		forecast := emulator.ForecastByLoadReports(before)
		forecast[emulator.FigureWithoutCopy] += 5
		return forecast
	})
	name := "tried " + emulator.FigureWithoutCopy
	assert.Equal(t, sound[name].Error.Mean, 0.0)
	assert.Equal(t, broken[name].Error.Mean, 5.0)
	moving := sound["tried "+emulator.FigureMoving]
	assert.Assert(t, moving.AbsoluteError.Mean <= max(moving.MeanTruth.Mean, 4), "%+v", moving)
	assert.Equal(t, len(sound[MethodOtherSeeds+" quick: share slowed"].Truth), 3)
}

func TestCompare_ForecastDoesNotChangeTheRun(t *testing.T) {
	configuration, err := Parse([]byte(smallExperiment))
	assert.NilError(t, err)
	runJSON := func(forecaster emulator.Forecaster) string {
		world, err := emulator.NewWorld(configuration.Scenarios[0])
		assert.NilError(t, err)
		if forecaster != nil {
			world.Forecasters = map[string]emulator.Forecaster{"tried": forecaster}
		}
		result := world.Run()
		result.Losses[0].Forecasts = nil
		content, err := json.Marshal(result)
		assert.NilError(t, err)
		return string(content)
	}
	assert.Assert(t, runJSON(nil) == runJSON(emulator.ForecastByLoadReports))
	assert.Assert(t, runJSON(nil) == runJSON(emulator.ForecastByMatchers(configuration.AfterS)))
}

func TestCompare_NothingToForecastWithoutLoss(t *testing.T) {
	configuration, err := Parse([]byte(smallExperiment))
	assert.NilError(t, err)
	configuration.Scenarios[0].Losses = nil
	_, err = CompareForecasts(
		t.Context(), configuration, []int{1}, map[string]emulator.Forecaster{"tried": emulator.ForecastByLoadReports}, 1, io.Discard,
	)
	assert.ErrorContains(t, err, "no loss")
}
