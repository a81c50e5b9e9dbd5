package main

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/emulator/demo"
)

// demoCommand runs a demo fleet on loopback.
type demoCommand struct {
	Programs string `long:"programs" description:"folder of the node programs (default: that of this program)"`
	Controls int    `long:"control-planes" default:"1" choice:"1" choice:"3" description:"control planes; 3 need 127.0.0.2 and 127.0.0.3"`
	Streams  int    `long:"streams" default:"12" description:"number of streams to send"`
	Stay     bool   `long:"stay" description:"keep running afterwards for curl and ferryspar-operator; Ctrl-C stops it"`
	Keep     string `long:"keep" description:"write settings, logs and data to this folder and keep them"`
	JSON     bool   `long:"json" description:"print JSON"`
}

const maxStreams = 1000

// Execute runs the demo and prints how the streams were served.
func (d *demoCommand) Execute([]string) error {
	if d.Streams < 1 || d.Streams > maxStreams {
		return cli.NewUsageError(errors.Errorf("--streams must be between 1 and %d", maxStreams))
	}
	if d.Programs == "" {
		executable, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find the folder of this program")
		}
		d.Programs = filepath.Dir(executable)
	}
	_, err := demo.Run(signalContext, demo.Options{
		ProgramDir:    d.Programs,
		LogDir:        d.Keep,
		ControlPlanes: d.Controls,
		Streams:       d.Streams,
		JSON:          d.JSON,
		KeepRunning:   d.Stay,
		Out:           os.Stdout,
		Progress:      os.Stderr,
	})
	return err
}
