// Ferryspar-replay replays a data plane's request log through the routing code and prints the outcomes.
//
// It connects to no node. Start reading at run, then internal/sim/replay.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
	"ferryspar/internal/sim/replay"
)

const programName = "ferryspar-replay"

// options are the command line. The defaults of the routing parameters are those of routing.DefaultParameters.
type options struct {
	Zone          string  `long:"zone" description:"zone of the recording data plane (default: that in the log)"`
	BatchSize     int     `long:"batch" default:"16" description:"maximum number of requests in a batch"`
	BatchWaitMs   float64 `long:"batch-wait-ms" default:"10" description:"maximum wait of the oldest request of a batch"`
	QualityWeight float64 `long:"delta" default:"0.7" description:"weight of quality against latency, 0 to 1"`
	CrossZoneCost float64 `long:"cross-price" default:"0.03" description:"cost of a replica in another zone"`
	PrefillMs     float64 `long:"read-ms" default:"60" description:"prefill time of 1000 prompt tokens"`
	JSON          bool    `long:"json" description:"print JSON"`
	Strict        bool    `long:"strict" description:"exit with status 1 if a line is damaged"`
	Version       bool    `long:"version" description:"print the version and exit"`
	Args          struct {
		File string `positional-arg-name:"FILE" description:"request log that a data plane wrote with --record"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

// run parses the command line, replays the request log and returns the exit status.
func run() int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = programName
	parser.LongDescription = "Replays a request log through the matching and queuing code of the data plane, in simulated time."
	if _, err := parser.Parse(); err != nil {
		return cli.ReportError(programName, err)
	}
	if parsed.Version {
		fmt.Println(programName, cli.Version)
		return cli.ExitSuccess
	}
	if err := parsed.check(); err != nil {
		return cli.ReportError(programName, cli.NewUsageError(err))
	}
	damaged, err := parsed.replayLog()
	if err == nil && parsed.Strict && damaged > 0 {
		return cli.ExitFailed
	}
	return cli.ReportError(programName, err)
}

// check returns an error if the options are invalid.
func (o options) check() error {
	if o.Args.File == "" || o.BatchSize < 1 || o.QualityWeight < 0 || o.QualityWeight > 1 {
		return errors.New("FILE is required, --batch must be at least 1 and --delta between 0 and 1")
	}
	return nil
}

// replayLog replays the request log, prints the outcomes and returns the number of damaged lines.
func (o options) replayLog() (int, error) {
	entries, damagedLines, err := readLog(o.Args.File)
	if err != nil {
		return 0, err
	}
	for _, line := range damagedLines {
		fmt.Fprintln(os.Stderr, "damaged,", line)
	}
	engine := o.newEngine(entries)
	if err := engine.Play(entries); err != nil {
		return 0, err
	}
	if o.JSON {
		_ = json.NewEncoder(os.Stdout).Encode(engine.Summary.Routes())
	} else {
		engine.Summary.Print(os.Stdout)
	}
	return len(damagedLines), nil
}

// readLog returns the entries of a request log and its damaged lines.
func readLog(path string) ([]requestlog.Entry, []requestlog.InvalidLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	return requestlog.Read(file)
}

// newEngine returns a replay engine with the parameters of the options.
func (o options) newEngine(entries []requestlog.Entry) *replay.Engine {
	parameters := routing.DefaultParameters()
	parameters.BatchSize = o.BatchSize
	parameters.BatchWait = time.Duration(o.BatchWaitMs * float64(time.Millisecond))
	parameters.QualityWeight = o.QualityWeight
	parameters.CrossZoneCost = o.CrossZoneCost
	model := replay.DefaultTimingModel()
	model.PrefillMsPerThousand = o.PrefillMs
	return replay.NewEngine(parameters, o.zone(entries), model)
}

// zone returns the zone of the recording data plane: that of the option, or else the first one in the log.
func (o options) zone(entries []requestlog.Entry) string {
	if o.Zone != "" {
		return o.Zone
	}
	for _, entry := range entries {
		if entry.Zone != "" {
			return entry.Zone
		}
	}
	return ""
}
