package main

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	// coordinationRate is the rate of the applications' calls, in calls a second.
	coordinationRate = 40
	// coordinationEnd is how long before the end of the run the applications stop.
	coordinationEnd = 2 * time.Second
)

// coordinate runs applications that take locks, draw numbers, and write and watch keys through the control planes, and records what
// they report if an answer broke a promise.
func (f *fleet) coordinate(ctx context.Context, length time.Duration) {
	arguments := []string{
		"applications", "--rate", fmt.Sprint(coordinationRate), "--for", (length - coordinationEnd).String(), "--seed", fmt.Sprint(f.seed),
	}
	for _, control := range f.controls {
		arguments = append(arguments, "--control", control.address)
	}
	command := exec.CommandContext(ctx, filepath.Join(f.programs, emulatorProgram), arguments...)
	output, err := command.CombinedOutput()
	if err == nil || ctx.Err() != nil {
		return
	}
	report := fmt.Sprintf("applications ended with %q: %s", err, strings.TrimSpace(string(output)))
	f.recorder.record(func(h *history) { h.Coordination = append(h.Coordination, report) })
}
