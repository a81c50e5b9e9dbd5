package main

import (
	"encoding/json"
	"os"
	"runtime"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/emulator"
	"ferryspar/internal/sim/experiment"
)

// forecastCommand compares forecasts of a loss with the emulated loss.
type forecastCommand struct {
	Sizes       []int `long:"size" default:"1" default:"2" default:"3" description:"fleet size as a multiple of the file's; repeatable"`
	Seeds       int   `long:"seeds" default:"20" description:"number of seeds of each size"`
	Parallelism int   `long:"at-once" description:"number of concurrent runs (default: half of the cores)"`
	JSON        bool  `long:"json" description:"print JSON instead of the table"`
	Args        struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"TOML file of an experiment; its first loss is forecast"`
	} `positional-args:"yes"`
}

const (
	maxSize = 10

	// Names of the forecasters in the output.
	methodByLoad     = "counted by pressures"
	methodByMatchers = "the daemons' forecast"
)

// Execute runs the forecasts and the emulations, and prints the comparisons.
func (f *forecastCommand) Execute([]string) error {
	configuration, err := experiment.Load(f.Args.File)
	if err != nil {
		return cli.NewUsageError(err)
	}
	for _, size := range f.Sizes {
		if size < 1 || size > maxSize {
			return cli.NewUsageError(errors.Errorf("--size must be between 1 and %d", maxSize))
		}
	}
	if f.Seeds < 2 {
		return cli.NewUsageError(errors.New("--seeds must be at least 2"))
	}
	configuration.Seeds = f.Seeds
	if f.Parallelism <= 0 {
		f.Parallelism = max(runtime.NumCPU()/2, 1)
	}
	forecasters := map[string]emulator.Forecaster{
		methodByLoad: emulator.ForecastByLoadReports, methodByMatchers: emulator.ForecastByMatchers(configuration.AfterS),
	}
	comparisons, err := experiment.CompareForecasts(signalContext, configuration, f.Sizes, forecasters, f.Parallelism, os.Stderr)
	if err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(os.Stdout).Encode(comparisons)
	}
	return experiment.PrintComparisons(os.Stdout, comparisons)
}
