package integration

import (
	"fmt"
	"sync"
	"time"
)

const (
	writerRetryInterval = 50 * time.Millisecond
	writerInterval      = 300 * time.Millisecond
	shutdownTimeout     = 8 * time.Second
)

// writer changes the configuration repeatedly, trying the members in turn, and measures the longest time without an
// acknowledged change.
type writer struct {
	o               *operators
	lock            sync.Mutex
	version         int
	attempts        int
	acknowledgedAt  time.Time
	longestGap      time.Duration
	longestGapStart time.Time
	problems        []string
	stop            chan struct{}
	stopped         chan struct{}
}

func (o *operators) startWriter(version int) *writer {
	w := &writer{
		o:              o,
		version:        version,
		acknowledgedAt: time.Now(),
		stop:           make(chan struct{}),
		stopped:        make(chan struct{}),
	}
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
		time.Sleep(writerInterval)
	}
}

// change sends one change until it is acknowledged; it returns false if the writer is closed before.
func (w *writer) change(change operatorChange) bool {
	for {
		select {
		case <-w.stop:
			return false
		default:
		}
		w.attempts++
		call := w.o.attempt(change, w.o.hosts[w.attempts%len(w.o.hosts)])
		switch call.outcome {
		case acknowledged:
			w.recordAcknowledged()
			return true
		case rejected:
			w.recordRejected(call)
			time.Sleep(writerInterval)
		}
		time.Sleep(writerRetryInterval)
	}
}

func (w *writer) recordAcknowledged() {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := time.Now()
	if gap := now.Sub(w.acknowledgedAt); gap > w.longestGap {
		w.longestGap, w.longestGapStart = gap, w.acknowledgedAt
	}
	w.acknowledgedAt = now
}

func (w *writer) recordRejected(call operatorCall) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.problems = append(w.problems, "the only writer is rejected: "+call.String())
}

func (w *writer) lastAcknowledged() time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.acknowledgedAt
}

// waitAcknowledged waits for the acknowledgement of a change that was sent after this call.
func (w *writer) waitAcknowledged(timeout time.Duration) bool {
	began := time.Now()
	for time.Since(began) < timeout {
		if w.lastAcknowledged().After(began.Add(writerInterval)) {
			return true
		}
		time.Sleep(writerRetryInterval)
	}
	return false
}

// close stops the writer and returns what went wrong.
func (w *writer) close() []string {
	close(w.stop)
	<-w.stopped
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.problems
}
