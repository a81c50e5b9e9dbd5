package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// daemon is one node of the fleet, running or not.
type daemon struct {
	node     string
	settings string
	log      string
	programs string
	command  *exec.Cmd
}

// start starts the node from a folder of programs. Its output is appended to its log.
func (d *daemon) start(programs string) error {
	program := "ferryspar-data-plane"
	if strings.HasPrefix(d.node, "control-") {
		program = "ferryspar-control-plane"
	}
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, d.node)
	}
	defer log.Close()
	d.programs = programs
	d.command = exec.Command(filepath.Join(programs, program), "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	return errors.Wrap(d.command.Start(), d.node)
}

// kill ends the node without a chance to finish anything.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
	d.command = nil
}

// childrenOf returns the ids of the processes whose parent is the given one.
func childrenOf(parent int) []int {
	var children []int
	entries, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, entry := range entries {
		content, err := os.ReadFile(entry)
		if err != nil {
			continue
		}
		// The name in parentheses may hold spaces; state and parent follow it.
		fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
		if len(fields) > 1 && fields[1] == strconv.Itoa(parent) {
			child, _ := strconv.Atoi(filepath.Base(filepath.Dir(entry)))
			children = append(children, child)
		}
	}
	return children
}
