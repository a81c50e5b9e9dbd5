package main

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/emulator/demo"
)

type demoCommand struct {
	Programs string `long:"programs" description:"folder of both programs (default: beside this one)"`
	Controls int    `long:"control-planes" default:"1" choice:"1" choice:"3" description:"control planes; 3 need 127.0.0.2 and 127.0.0.3"`
	Streams  int    `long:"streams" default:"12" description:"streams to send"`
	Stay     bool   `long:"stay" description:"stay up afterwards for curl and ferryspar-operator; Ctrl-C ends it"`
	Keep     string `long:"keep" description:"write settings, logs and data to this folder and keep them"`
	JSON     bool   `long:"json" description:"print JSON"`
}

const maxStreams = 1000

func (d *demoCommand) Execute([]string) error {
	if d.Streams < 1 || d.Streams > maxStreams {
		return cli.NewUsageError(errors.Errorf("--streams must lie between 1 and %d", maxStreams))
	}
	if d.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "own folder")
		}
		d.Programs = filepath.Dir(self)
	}
	_, err := demo.Run(interrupted, demo.Options{
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
