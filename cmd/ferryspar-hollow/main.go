// Ferryspar-hollow measures the resource usage of the nodes at fleet sizes that one machine cannot run in full: it runs
// the nodes' own code for many data planes over loopback.
//
// It never connects to a real fleet. Start reading at options.measure, then internal/sim/hollow.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/hollow"
)

// options are the command line. --replicas, --models, --adapters and --routes are numbers for a fleet of --target data
// planes; each run scales them to its own number of data planes.
type options struct {
	Sizes            string   `long:"sizes" default:"10,40,160" description:"numbers of data planes, one run each"`
	Members          int      `long:"members" default:"5" description:"control planes: 3 or 5"`
	Target           int      `long:"target" default:"380" description:"data planes at the size that the rest is scaled from"`
	Replicas         int      `long:"replicas" default:"720" description:"replicas at the target size"`
	Models           int      `long:"models" default:"480" description:"models at the target size"`
	Adapters         int      `long:"adapters" default:"1100" description:"adapters at the target size"`
	Routes           int      `long:"routes" default:"350" description:"routes at the target size"`
	ModelsPerReplica int      `long:"resident" default:"2" description:"models that fit on a replica"`
	Slots            int      `long:"slots" default:"64" description:"slots per replica"`
	RequestsPerS     float64  `long:"orders" default:"2" description:"requests per second at each data plane"`
	StreamSeconds    float64  `long:"hold" default:"4" description:"duration of a stream in seconds"`
	Events           int      `long:"events" default:"4" description:"events per stream"`
	Tokens           int      `long:"tokens" default:"800" description:"tokens per prompt"`
	WindowSeconds    float64  `long:"seconds" default:"4" description:"length of each measured window in seconds"`
	SettleSeconds    float64  `long:"settle" default:"1.5" description:"settling time before a window in seconds"`
	FillSeconds      float64  `long:"fill" default:"30" description:"longest wait for stable placement, at first and after a failure"`
	ChangeSeconds    float64  `long:"change-every" default:"2" description:"seconds between changes of the configuration"`
	Failures         []string `long:"trouble" description:"failure at the end: holder, machine, rack, zone, region, restart; repeatable"`
	FailureSeconds   float64  `long:"trouble-seconds" default:"5" description:"seconds that a failure lasts, and the window after it"`
	Processors       int      `long:"processors" default:"2" description:"processors that each process of data planes may use"`
	Processes        int      `long:"processes" default:"2" description:"processes that share the data planes"`
	MemoryMb         float64  `long:"memory-mb" default:"8000" description:"abort the run above this; at most half of the machine's memory"`
	TimeoutSeconds   float64  `long:"bound" default:"120" description:"timeout of a run in seconds"`
	Output           string   `long:"output" description:"also write the JSON to this file"`
	JSON             bool     `long:"json" description:"print JSON instead of the table"`
	Version          bool     `long:"version" description:"print the version and exit"`
}

// stableAfter is how long placement must give no orders to count as stable.
const stableAfter = 1500 * time.Millisecond

func main() {
	if hollow.IsChild() {
		if hollow.ServeChild(os.Stdin, os.Stdout) != nil {
			os.Exit(cli.ExitFailed)
		}
		return
	}
	os.Exit(run())
}

// run parses the command line, runs the measurements or a subcommand and returns the exit status.
func run() int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "ferryspar-hollow"
	parser.LongDescription = "Runs the nodes' own code for many hollow nodes over loopback and prints their resource usage. " +
		"`ferryspar-hollow slopes FILE` reads the output of go test -bench instead, " +
		"`ferryspar-hollow table FILE...` combines files written with --output."
	rest, err := parser.Parse()
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return cli.ExitSuccess
	}
	if err == nil && len(rest) > 0 && rest[0] == "slopes" {
		return runSlopes(rest[1:], parsed.JSON)
	}
	if err == nil && len(rest) > 0 && rest[0] == "table" {
		return runTable(rest[1:], parsed)
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	var plans []hollow.Plan
	if err == nil {
		plans, err = parsed.plans()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitUsage
	}
	if parsed.Version {
		fmt.Println("ferryspar-hollow", cli.Version)
		return cli.ExitSuccess
	}
	logrus.SetOutput(os.Stderr)
	results, err := parsed.measure(plans)
	if len(results) > 0 {
		if printErr := parsed.print(hollow.Summarize(results, parsed.Target)); err == nil {
			err = printErr
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	return cli.ExitSuccess
}

// plans checks the options and returns the plan of each run.
func (o options) plans() ([]hollow.Plan, error) {
	maxMemoryMb := hollow.HalfOfMemory()
	switch {
	case o.Target < 1 || o.Replicas < 1 || o.Models < 1 || o.Adapters < 0 || o.Routes < 1:
		return nil, errors.New("--target, --replicas, --models and --routes must be above 0")
	case o.WindowSeconds < 1 || o.WindowSeconds > 60 || o.SettleSeconds < 0 || o.SettleSeconds > 60 ||
		o.ChangeSeconds <= 0 || o.FillSeconds < 0 || o.FillSeconds > 300:
		return nil, errors.New("--seconds must be 1 to 60, --settle 0 to 60, --fill 0 to 300, --change-every above 0")
	case o.FailureSeconds < 1 || o.FailureSeconds > 60:
		return nil, errors.New("--trouble-seconds must be 1 to 60")
	case o.MemoryMb <= 0 || maxMemoryMb > 0 && o.MemoryMb > maxMemoryMb:
		return nil, errors.Errorf("--memory-mb must be above 0 and at most %.0f, half of this machine's memory", maxMemoryMb)
	case o.TimeoutSeconds < 5 || o.TimeoutSeconds > 540:
		return nil, errors.New("--bound must be 5 to 540 seconds")
	}
	for _, failure := range o.Failures {
		if err := hollow.CheckFailure(failure); err != nil {
			return nil, errors.Wrapf(err, "--trouble %s", failure)
		}
	}
	target := hollow.FullSize{DataPlanes: o.Target, Replicas: o.Replicas, Models: o.Models, Adapters: o.Adapters, Routes: o.Routes}
	var plans []hollow.Plan
	for _, text := range strings.Split(o.Sizes, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Errorf("--sizes: %q is not a number", text)
		}
		plan := target.Scaled(size)
		plan.Members, plan.ModelsPerReplica, plan.Slots, plan.RequestsPerS = o.Members, o.ModelsPerReplica, o.Slots, o.RequestsPerS
		plan.StreamLength, plan.Events, plan.Tokens = time.Duration(o.StreamSeconds*float64(time.Second)), o.Events, o.Tokens
		plan.Processors, plan.Processes = o.Processors, o.Processes
		if err := plan.Check(); err != nil {
			return nil, err
		}
		plans = append(plans, plan)
	}
	return plans, nil
}

// measure runs the plans one after the other. With an error it returns the results up to then.
func (o options) measure(plans []hollow.Plan) ([]hollow.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	seconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
	var results []hollow.Result
	for _, plan := range plans {
		bounded, cancel := context.WithTimeout(ctx, seconds(o.TimeoutSeconds))
		result, err := hollow.Run(bounded, plan, hollow.Options{
			Window:         seconds(o.WindowSeconds),
			SettleTime:     seconds(o.SettleSeconds),
			FillTimeout:    seconds(o.FillSeconds),
			StableAfter:    stableAfter,
			ChangeInterval: seconds(o.ChangeSeconds),
			MemoryMb:       o.MemoryMb,
			Failures:       o.Failures,
			FailureLength:  seconds(o.FailureSeconds),
			Progress:       os.Stderr,
		})
		cancel()
		if err != nil {
			return results, errors.Wrapf(err, "run with %d data planes", plan.DataPlanes)
		}
		results = append(results, result)
	}
	return results, nil
}

// print prints the report, and writes it to the file of --output.
func (o options) print(report hollow.Report) error {
	content, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	if o.Output != "" {
		if err := os.WriteFile(o.Output, append(content, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.JSON {
		fmt.Println(string(content))
		return nil
	}
	report.Print(os.Stdout, o.Target)
	return nil
}
