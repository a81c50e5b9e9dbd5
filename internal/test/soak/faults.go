package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// carryOut carries out a schedule and waits for its end.
func (f *fleet) carryOut(schedule []scheduledFault) {
	byName := map[string]*process{}
	for _, node := range f.all() {
		byName[node.name] = node
	}
	for _, fault := range schedule {
		time.Sleep(fault.At - f.recorder.now())
		fmt.Println(fault)
		switch fault.Kind {
		case changeConfiguration:
			f.faults.Go(f.change)
		case changeEvacuation:
			f.faults.Go(func() { f.evacuate(fault) })
		case faultLyingHealth:
			f.lie(fault)
		default:
			f.faults.Go(func() { f.apply(fault, byName[fault.Node]) })
		}
	}
}

func (f *fleet) recordEvent(node *process, kind faultKind) {
	f.recorder.record(func(h *history) {
		h.Events = append(h.Events, nodeEvent{At: f.recorder.now(), Node: node.name, Kind: kind})
	})
}

// apply carries out one fault of a process, to its restart.
func (f *fleet) apply(fault scheduledFault, node *process) {
	node.faultLock.Lock()
	defer node.faultLock.Unlock()
	f.recordEvent(node, fault.Kind)
	switch fault.Kind {
	case faultHangup:
		node.hangup()
		for range fault.Repeats {
			time.Sleep(signalPause)
			node.hangup()
		}
		return
	case faultFreeze:
		node.signal(syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		f.recordEvent(node, eventThaw)
		node.signal(syscall.SIGCONT)
		return
	case faultKill:
		<-node.signal(syscall.SIGKILL)
	case faultTerm:
		node.terminate(fault.Repeats)
	}
	time.Sleep(restartDelay)
	if err := node.restart(); err != nil {
		fmt.Fprintln(os.Stderr, node.name, err)
	}
	started := eventStart
	if fault.Kind == faultKill {
		started = eventRestart
	}
	f.recordEvent(node, started)
}

// hangup writes the settings file anew and sends SIGHUP.
func (p *process) hangup() {
	if err := p.rewriteSettings(); err != nil {
		fmt.Fprintln(os.Stderr, p.name, err)
	}
	p.signal(syscall.SIGHUP)
}

// terminate sends SIGTERM, then SIGHUP and SIGTERM in turn while the process shuts down, and SIGKILL after the grace period.
func (p *process) terminate(repeats int) {
	ended := p.signal(syscall.SIGTERM)
	killAt := time.After(graceTime)
	for number := range repeats {
		select {
		case <-ended:
			return
		case <-time.After(signalPause):
		}
		if number%2 == 0 {
			p.hangup()
		} else {
			p.signal(syscall.SIGTERM)
		}
	}
	select {
	case <-ended:
	case <-killAt:
		<-p.signal(syscall.SIGKILL)
	}
}

// patchForm is a change of the configuration that adds a route.
const patchForm = `{"revision":%d,"upsert":{"routeTable":[
{"name":"added-%d","hostname":"soak.example","pathPrefix":"/added-%d/","routeType":"streaming","timeoutMs":20000,
"targetLatencyMs":600,"priority":1,"backend":"scribes","retryCount":1}]}}`

// change adds a route to the configuration. It is sent to the control planes in turn until one answers clearly.
func (f *fleet) change() {
	f.recorder.lock.Lock()
	base := f.revision
	f.revision++
	revision := f.revision
	f.recorder.lock.Unlock()
	body := fmt.Sprintf(patchForm, revision, revision, revision)
	deadline := time.Now().Add(changeInterval - pollInterval)
	for number := 0; time.Now().Before(deadline); number++ {
		address := f.controls[number%len(f.controls)].address
		current := f.readRevision(address)
		if current < base {
			time.Sleep(pollInterval)
			continue
		}
		status, err := f.call(http.MethodPatch, address, fmt.Sprint(current), body, nil)
		if err == nil && status == http.StatusOK {
			f.recorder.record(func(h *history) {
				h.Acknowledgements = append(h.Acknowledgements, acknowledgement{f.recorder.now(), revision})
			})
			return
		}
		time.Sleep(pollInterval)
	}
}

// readRevision returns the revision of the configuration that a control plane reads, or 0.
func (f *fleet) readRevision(address string) int {
	var read struct {
		Revision int `json:"revision"`
	}
	sentAt := f.recorder.now()
	if status, err := f.call(http.MethodGet, address, "", "", &read); err != nil || status != http.StatusOK {
		return 0
	}
	f.recorder.record(func(h *history) { h.Reads = append(h.Reads, configurationRead{sentAt, address, read.Revision}) })
	return read.Revision
}

// readConfigurations reads the configuration from the control planes in turn, until the context ends.
func (f *fleet) readConfigurations(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		f.readRevision(f.controls[number%len(f.controls)].address)
		time.Sleep(pollInterval)
	}
}

// lie makes the health checks of a replica false.
func (f *fleet) lie(fault scheduledFault) {
	for _, replica := range f.replicas {
		if replica.listed.ID == fault.Node {
			replica.liesUntil.Store(int64(f.recorder.now() + fault.Duration))
		}
	}
}

// evacuate evacuates a zone and takes that back after the fault's duration.
func (f *fleet) evacuate(fault scheduledFault) {
	endAt := f.recorder.now() + fault.Duration
	if f.callUntilClear(http.MethodPost, fault.Node) {
		acknowledgedAt := f.recorder.now()
		time.Sleep(endAt - f.recorder.now())
		f.recorder.record(func(h *history) {
			h.Evacuations = append(h.Evacuations, evacuation{fault.Node, acknowledgedAt, f.recorder.now()})
		})
	}
	f.callUntilClear(http.MethodDelete, fault.Node)
}

// callUntilClear sends a call on the evacuation of a zone to the control planes in turn, until one acknowledges it or for changeInterval.
func (f *fleet) callUntilClear(method, zone string) bool {
	deadline := time.Now().Add(changeInterval)
	for number := 0; time.Now().Before(deadline); number++ {
		address := f.controls[number%len(f.controls)].address
		status, err := f.callPath(method, address, drainPath+zone, "", "", nil)
		if err == nil && status < http.StatusMultipleChoices {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// finalRevision returns the newest revision that can be read at the end.
func (f *fleet) finalRevision() int {
	newest := 0
	_ = f.repeat(func(number int) error {
		newest = f.readRevision(f.controls[number%len(f.controls)].address)
		if newest == 0 {
			return fmt.Errorf("no configuration read")
		}
		return nil
	})
	return newest
}

var panicLine = regexp.MustCompile(`(?m)^(panic: |fatal error: |WARNING: DATA RACE).*$`)

// panics returns the lines of the logs that report a panic or a data race.
func (f *fleet) panics() (found []string) {
	for _, node := range f.all() {
		content, err := os.ReadFile(node.log)
		if err != nil {
			continue
		}
		for _, line := range panicLine.FindAllString(string(content), -1) {
			found = append(found, node.name+": "+strings.TrimSpace(line))
		}
	}
	return found
}
