package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/experiment"
)

type experimentCommand struct {
	Out    string `long:"out" description:"folder for summary.json, table.txt and plots (default: none are written)"`
	Seeds  int    `long:"seeds" description:"seeds of each variant instead of the file's"`
	AtOnce int    `long:"at-once" description:"runs at the same time (default: half of the cores)"`
	Raw    bool   `long:"raw" description:"write every run to runs.json as well"`
	Check  bool   `long:"check" description:"check the file and end"`
	JSON   bool   `long:"json" description:"print JSON instead of the table"`
	Rest   struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"TOML file that describes the experiment"`
	} `positional-args:"yes"`
}

func (e *experimentCommand) Execute([]string) error {
	if e.Seeds < 0 || e.AtOnce < 0 {
		return cli.NewUsageError(errors.New("--seeds and --at-once must be above 0"))
	}
	configuration, err := experiment.Load(e.Rest.File)
	if err != nil {
		return cli.NewUsageError(err)
	}
	if e.Seeds > 0 {
		configuration.Seeds = e.Seeds
	}
	if e.Check {
		fmt.Printf("sound: %d variants, %d seeds\n", len(configuration.Variants), configuration.Seeds)
		return nil
	}
	if e.AtOnce == 0 {
		e.AtOnce = max(runtime.NumCPU()/2, 1)
	}
	all, err := experiment.Run(interrupted, configuration, e.AtOnce, os.Stderr)
	if err != nil {
		return err
	}
	summary := experiment.Summarize(configuration, all)
	if e.Out != "" {
		if err := summary.Write(e.Out, all, e.Raw); err != nil {
			return err
		}
	}
	if e.JSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	return summary.Print(os.Stdout)
}
