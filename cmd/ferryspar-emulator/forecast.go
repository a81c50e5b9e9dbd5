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

type forecastCommand struct {
	Sizes  []int `long:"size" default:"1" default:"2" default:"3" description:"fleet size, as a multiple of the file's; name several"`
	Seeds  int   `long:"seeds" default:"20" description:"seeds of each size"`
	AtOnce int   `long:"at-once" description:"runs at the same time (default: half of the cores)"`
	JSON   bool  `long:"json" description:"print JSON instead of the table"`
	Rest   struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"TOML file of an experiment; its first loss is forecast"`
	} `positional-args:"yes"`
}

const (
	maxSize          = 10
	methodByLoad     = "counted by pressures"
	methodByMatchers = "the daemons' forecast"
)

func (f *forecastCommand) Execute([]string) error {
	configuration, err := experiment.Load(f.Rest.File)
	if err != nil {
		return cli.NewUsageError(err)
	}
	for _, size := range f.Sizes {
		if size < 1 || size > maxSize {
			return cli.NewUsageError(errors.Errorf("--size must lie between 1 and %d", maxSize))
		}
	}
	if f.Seeds < 2 {
		return cli.NewUsageError(errors.New("--seeds must be at least 2"))
	}
	configuration.Seeds = f.Seeds
	if f.AtOnce <= 0 {
		f.AtOnce = max(runtime.NumCPU()/2, 1)
	}
	forecasters := map[string]emulator.Forecaster{
		methodByLoad: emulator.ForecastByLoadReports, methodByMatchers: emulator.ForecastByMatchers(configuration.AfterS),
	}
	found, err := experiment.CompareForecasts(interrupted, configuration, f.Sizes, forecasters, f.AtOnce, os.Stderr)
	if err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(os.Stdout).Encode(found)
	}
	return experiment.PrintComparisons(os.Stdout, found)
}
