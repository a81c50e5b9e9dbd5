package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/pkg/errors"
)

var (
	controlNodes = []string{"control-1", "control-2", "control-3"}
	dataNodes    = []string{"data-1", "data-2"}
	allNodes     = slices.Concat(controlNodes, dataNodes)
)

const (
	startTimeout = 60 * time.Second
	readyTimeout = 60 * time.Second
	pollInterval = 100 * time.Millisecond
	// usageWindowS and usageDelayS are the length of a window of usage and how long after its end its report is due.
	usageWindowS, usageDelayS = 2.0, 4.0
)

// fleet is the demonstration's daemons, under this program's control.
type fleet struct {
	demonstration *exec.Cmd
	folder        string
	daemons       map[string]*daemon
	// controls and edges are the addresses that operators and clients use, ready those of readiness.
	controls, edges, ready []string
	// isDown is set while all daemons are ended: calls are not repeated then.
	isDown atomic.Bool
}

// startFleet starts the demonstration, ends its daemons and rewrites their settings for the platform's proxy.
func startFleet(programs, folder string, platform *platform) (*fleet, error) {
	started := &fleet{folder: folder, daemons: map[string]*daemon{}}
	started.demonstration = exec.Command(
		filepath.Join(programs, "ferryspar-emulator"), "demo", "--control-planes", "3", "--streams", "2", "--stay", "--keep", folder)
	progress, err := started.demonstration.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "demonstration")
	}
	if err := started.demonstration.Start(); err != nil {
		return nil, errors.Wrap(err, "demonstration")
	}
	if err := awaitLine(progress, "all of it stays up"); err != nil {
		started.close()
		return nil, err
	}
	if err := started.adoptDaemons(platform); err != nil {
		started.close()
		return nil, err
	}
	return started, nil
}

// awaitLine reads until a line holds the text, and goes on reading so that the writer never blocks.
func awaitLine(output io.Reader, text string) error {
	found := make(chan bool, 1)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				found <- true
			}
		}
		close(found)
	}()
	select {
	case ok := <-found:
		if !ok {
			return errors.New("the demonstration ended early")
		}
		return nil
	case <-time.After(startTimeout):
		return errors.New("the demonstration did not start in time")
	}
}

// adoptDaemons kills the demonstration's daemons, whose parent it is, and reads and rewrites their settings.
func (f *fleet) adoptDaemons(platform *platform) error {
	for _, process := range childrenOf(f.demonstration.Process.Pid) {
		_ = syscall.Kill(process, syscall.SIGKILL)
	}
	folders, _ := filepath.Glob(filepath.Join(f.folder, "start-*"))
	if len(folders) == 0 {
		return errors.Errorf("no settings in %s", f.folder)
	}
	newest := slices.MaxFunc(folders, func(a, b string) int { return modifiedAt(a).Compare(modifiedAt(b)) })
	for _, node := range allNodes {
		if err := f.adopt(node, filepath.Join(newest, node+".toml"), platform); err != nil {
			return errors.Wrap(err, node)
		}
	}
	return nil
}

func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// adopt reads a daemon's settings and writes them with the platform's proxy and with windows of usage.
func (f *fleet) adopt(node, path string, platform *platform) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	settings, err := toml.Parser().Unmarshal(content)
	if err != nil {
		return err
	}
	bind := settings["bindAddresses"].(map[string]any)
	cloud := settings["cloudApi"].(map[string]any)
	platform.setList(cloud["address"].(string))
	cloud["address"] = platform.address
	cloud["duties"] = []string{"usage_report"}
	cloud["dutyPerS"] = 10.0
	bounds := settings["timingBounds"].(map[string]any)
	bounds["usageWindowS"], bounds["usageDelayS"] = usageWindowS, usageDelayS
	settings["bootstrap"] = false
	if content, err = toml.Parser().Marshal(settings); err != nil {
		return err
	}
	if address, isControl := bind["controlPlane"].(string); isControl {
		f.controls = append(f.controls, address)
	} else {
		f.edges = append(f.edges, bind["dataPlane"].(string))
		f.ready = append(f.ready, bind["readiness"].(string))
	}
	f.daemons[node] = &daemon{node: node, settings: path, log: filepath.Join(f.folder, node+".log")}
	return os.WriteFile(path, content, 0o600)
}

// startAll starts every daemon from the folder of programs that build returns, and waits until all data planes are ready.
func (f *fleet) startAll(build func(node string) string) error {
	f.isDown.Store(false)
	for _, node := range allNodes {
		if err := f.daemons[node].start(build(node)); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, address := range f.ready {
		for !isReady(address) {
			if time.Now().After(deadline) {
				return errors.Errorf("data plane %s is not ready within %s", address, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func isReady(address string) bool {
	answer, err := http.Get("http://" + address + "/ferryspar/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// killAll kills every daemon that runs.
func (f *fleet) killAll() {
	f.isDown.Store(true)
	for _, daemon := range f.daemons {
		daemon.kill()
	}
}

// close ends the daemons and the demonstration.
func (f *fleet) close() {
	f.killAll()
	_ = f.demonstration.Process.Signal(syscall.SIGTERM)
	_ = f.demonstration.Wait()
}

// unreadable are parts of warnings and errors that report data of another build that could not be read, or that was rejected.
var unreadable = []string{"cannot be read", "is damaged", "rejected", "unknown field", "cannot unmarshal", "panic"}

// reportsUnreadable reports whether a line of a log is a warning, an error or no log entry at all, and names unreadable data.
func reportsUnreadable(line string) bool {
	if strings.Contains(line, `"level":"info"`) || strings.Contains(line, `"level":"debug"`) {
		return false
	}
	return slices.ContainsFunc(unreadable, func(text string) bool { return strings.Contains(line, text) })
}

// checkLogs returns an error that names the lines of the daemons' logs that report unreadable data.
func (f *fleet) checkLogs() error {
	var found []string
	for _, node := range allNodes {
		content, err := os.ReadFile(f.daemons[node].log)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(content)) {
			if reportsUnreadable(line) {
				found = append(found, node+": "+strings.TrimSpace(line))
			}
		}
		fmt.Printf("log of %s: %d lines\n", node, strings.Count(string(content), "\n"))
	}
	if len(found) > 0 {
		return errors.Errorf("%d log lines report unreadable data:\n%s", len(found), strings.Join(found[:min(len(found), 20)], "\n"))
	}
	return nil
}
