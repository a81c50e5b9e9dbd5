package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	writerPause  = 50 * time.Millisecond
	writerEvery  = 300 * time.Millisecond
	processGrace = 8 * time.Second
)

// writer changes the configuration again and again, trying the daemons in turn, and measures how long it had to wait.
type writer struct {
	o        *operators
	lock     sync.Mutex
	version  int
	turn     int
	acked    time.Time
	longest  time.Duration
	longAt   time.Time
	problems []string
	stop     chan struct{}
	stopped  chan struct{}
}

func (o *operators) startWriter(version int) *writer {
	w := &writer{o: o, version: version, acked: time.Now(), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

func (w *writer) run() {
	defer close(w.stopped)
	for number := 0; ; number++ {
		change := addRoute(w.version, w.version+1, fmt.Sprint("written-", number%8))
		change.name = fmt.Sprintf("change %d to %d", number, change.revision)
		if !w.change(change) {
			return
		}
		w.version++
		time.Sleep(writerEvery)
	}
}

// change sends one change until it is acknowledged; false says that the writer was stopped.
func (w *writer) change(change operatorChange) bool {
	for {
		select {
		case <-w.stop:
			return false
		default:
		}
		w.turn++
		call := w.o.attempt(change, w.o.hosts[w.turn%len(w.o.hosts)])
		switch call.outcome {
		case acknowledged:
			w.recordAcknowledged()
			return true
		case refused:
			w.recordRejected(call)
			time.Sleep(writerEvery)
		}
		time.Sleep(writerPause)
	}
}

func (w *writer) recordAcknowledged() {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := time.Now()
	if gap := now.Sub(w.acked); gap > w.longest {
		w.longest, w.longAt = gap, w.acked
	}
	w.acked = now
}

func (w *writer) recordRejected(call operatorCall) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.problems = append(w.problems, "the only writer is refused: "+call.String())
}

func (w *writer) lastAcknowledged() time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.acked
}

// waitAcknowledged waits for a change that is acknowledged after this moment.
func (w *writer) waitAcknowledged(bound time.Duration) bool {
	asked := time.Now()
	for time.Since(asked) < bound {
		if w.lastAcknowledged().After(asked.Add(writerEvery)) {
			return true
		}
		time.Sleep(writerPause)
	}
	return false
}

func (w *writer) end() []string {
	close(w.stop)
	<-w.stopped
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.problems
}

// terminate sends SIGTERM, waits for the end of the process and says how long that took.
func (f *fleet) terminate(host string) time.Duration {
	began, node := time.Now(), f.runningNode(host)
	node.stop <- syscall.SIGTERM
	select {
	case <-node.done:
	case <-time.After(processGrace):
	}
	node.cancel()
	f.network.resetAll(host)
	time.Sleep(networkPoll)
	f.network.resetAll(host)
	return time.Since(began)
}

// judge collects what is wrong once all is calm: the record, what each daemon reads and what it says of zones.
func (o *operators) violationsAt(hosts ...string) []string {
	problems := o.violations()
	for _, host := range hosts {
		status, content := o.read(host)
		if status != 200 {
			problems = append(problems, fmt.Sprintf("%s reads %d %.80s", host, status, content))
			continue
		}
		for _, problem := range o.readViolations(content) {
			problems = append(problems, host+": "+problem)
		}
		problems = append(problems, o.zoneViolations(host)...)
	}
	return problems
}

func (o *operators) describe(hosts ...string) string {
	text := ""
	for _, host := range hosts {
		content, _ := json.Marshal(o.shortStatus(host))
		text += fmt.Sprintf("%s: %s\n", host, content)
	}
	return text
}

func (o *operators) shortStatus(host string) any {
	status := o.status(host)
	return struct {
		Fresh         bool
		Revision      int64
		Members, Next []string
		Drained       []string
	}{status.Fresh, status.Revision, status.Members, status.NextMembers, status.DrainedZones}
}
