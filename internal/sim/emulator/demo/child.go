package demo

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// child is a daemon started as a child process. ended is closed once the process has exited.
type child struct {
	name    string
	log     string
	command *exec.Cmd
	ended   chan struct{}
}

const (
	controlProgram = "ferryspar-control-plane"
	dataProgram    = "ferryspar-data-plane"
	// shutdownTimeout is how long a child may take to exit before it is killed.
	shutdownTimeout = 4 * time.Second
	// tailBytes is how much of the end of a child's log an error message contains.
	tailBytes = 1500
)

// startChild writes the settings file and starts the program. Both the settings and the log are in the
// folder.
func startChild(programs, folder, program, name string, settings []byte) (*child, error) {
	path := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings of "+name)
	}
	process := &child{name: name, log: filepath.Join(folder, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(process.log)
	if err != nil {
		return nil, errors.Wrap(err, "log of "+name)
	}
	defer log.Close()
	process.command = exec.Command(filepath.Join(programs, program), "--settings", path)
	process.command.Stdout, process.command.Stderr = log, log
	if err := process.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "%s cannot be started; build it beside this program or name its folder with --programs", program)
	}
	go func() {
		_ = process.command.Wait()
		close(process.ended)
	}()
	return process, nil
}

// alive reports whether the process is still running.
func (c *child) alive() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// end sends SIGTERM to the process, kills it after shutdownTimeout, and waits until it has exited.
func (c *child) end() {
	if !c.alive() {
		return
	}
	_ = c.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(shutdownTimeout):
		_ = c.command.Process.Kill()
		<-c.ended
	}
}

// tail returns the end of the child's log.
func (c *child) tail() string {
	content, _ := os.ReadFile(c.log)
	if len(content) > tailBytes {
		content = content[len(content)-tailBytes:]
	}
	return string(bytes.TrimSpace(content))
}
