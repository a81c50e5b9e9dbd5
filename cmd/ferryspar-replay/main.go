// Ferryspar-replay plays a data plane's record again through the routing code and prints the outcomes.
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

const program = "ferryspar-replay"

// options are the command line. The defaults of the policy are those of routing.DefaultParameters.
type options struct {
	Zone    string  `long:"zone" description:"zone of the data plane that recorded (default: the record's)"`
	Batch   int     `long:"batch" default:"16" description:"requests in a batch at most"`
	WaitMs  float64 `long:"batch-wait-ms" default:"10" description:"wait of the oldest request of a batch at most"`
	Delta   float64 `long:"delta" default:"0.7" description:"weight of quality against latency, 0 to 1"`
	Cross   float64 `long:"cross-price" default:"0.03" description:"price of crossing zones"`
	ReadMs  float64 `long:"read-ms" default:"60" description:"time a replica takes to read 1000 prompt tokens"`
	JSON    bool    `long:"json" description:"print JSON"`
	Strict  bool    `long:"strict" description:"end with status 1 when a line is damaged"`
	Version bool    `long:"version" description:"print the version and end"`
	Rest    struct {
		File string `positional-arg-name:"FILE" description:"a record written with --record by the data plane"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

// run parses the command line, plays the record and returns the exit status.
func run() int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = program
	parser.LongDescription = "Plays a recorded day again through the matching and waiting code of the data plane, in made-up time."
	if _, err := parser.Parse(); err != nil {
		return cli.ReportError(program, err)
	}
	if parsed.Version {
		fmt.Println(program, cli.Version)
		return cli.ExitSuccess
	}
	if err := parsed.check(); err != nil {
		return cli.ReportError(program, cli.NewUsageError(err))
	}
	damaged, err := parsed.play()
	if err == nil && parsed.Strict && damaged > 0 {
		return cli.ExitFailed
	}
	return cli.ReportError(program, err)
}

// check returns the first reason why the options cannot be used.
func (o options) check() error {
	if o.Rest.File == "" || o.Batch < 1 || o.Delta < 0 || o.Delta > 1 {
		return errors.New("name a FILE; --batch is at least 1, --delta between 0 and 1")
	}
	return nil
}

// play plays the record, prints the outcome and returns the number of damaged lines.
func (o options) play() (int, error) {
	entries, damages, err := readRecord(o.Rest.File)
	if err != nil {
		return 0, err
	}
	for _, damage := range damages {
		fmt.Fprintln(os.Stderr, "damaged,", damage)
	}
	engine := o.engine(entries)
	if err := engine.Play(entries); err != nil {
		return 0, err
	}
	if o.JSON {
		_ = json.NewEncoder(os.Stdout).Encode(engine.Summary.Routes())
	} else {
		engine.Summary.Print(os.Stdout)
	}
	return len(damages), nil
}

// readRecord reads the entries of a record and lists its damaged lines.
func readRecord(path string) ([]requestlog.Entry, []requestlog.InvalidLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	return requestlog.Read(file)
}

// engine returns an engine with the parameters of the options.
func (o options) engine(entries []requestlog.Entry) *replay.Engine {
	parameters := routing.DefaultParameters()
	parameters.BatchSize = o.Batch
	parameters.BatchWait = time.Duration(o.WaitMs * float64(time.Millisecond))
	parameters.QualityWeight = o.Delta
	parameters.CrossZoneCost = o.Cross
	model := replay.DefaultTimingModel()
	model.PrefillMsPerThousand = o.ReadMs
	return replay.NewEngine(parameters, o.zone(entries), model)
}

// zone returns the zone of the data plane that recorded: the option's, or the first one in the record.
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
