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

// experimentCommand runs the emulations of an experiment file and summarizes them.
type experimentCommand struct {
	Out         string `long:"out" description:"folder for summary.json, table.txt and plots (default: none are written)"`
	Seeds       int    `long:"seeds" description:"number of seeds of each variant (default: that of the file)"`
	Parallelism int    `long:"at-once" description:"number of concurrent runs (default: half of the cores)"`
	Raw         bool   `long:"raw" description:"also write every run to runs.json"`
	Check       bool   `long:"check" description:"check the file and exit"`
	JSON        bool   `long:"json" description:"print JSON instead of the table"`
	Args        struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"TOML file that describes the experiment"`
	} `positional-args:"yes"`
}

// Execute runs the experiment, prints the summary and writes it to the folder of --out.
func (e *experimentCommand) Execute([]string) error {
	if e.Seeds < 0 || e.Parallelism < 0 {
		return cli.NewUsageError(errors.New("--seeds and --at-once must not be negative"))
	}
	configuration, err := experiment.Load(e.Args.File)
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
	if e.Parallelism == 0 {
		e.Parallelism = max(runtime.NumCPU()/2, 1)
	}
	runs, err := experiment.Run(signalContext, configuration, e.Parallelism, os.Stderr)
	if err != nil {
		return err
	}
	summary := experiment.Summarize(configuration, runs)
	if e.Out != "" {
		if err := summary.Write(e.Out, runs, e.Raw); err != nil {
			return err
		}
	}
	if e.JSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	return summary.Print(os.Stdout)
}
