package requestlog

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Writer writes entries up to a limit of bytes. A nil Writer writes nothing. It may be used by any number of goroutines.
type Writer struct {
	startedAt time.Time

	// lock guards what follows.
	lock      sync.Mutex
	output    io.Writer
	bytesLeft int64
	// full says that the limit was reached or a write failed.
	full bool
}

// NewWriter returns a writer that stops at maxBytes; the log starts at the present time of the clock.
func NewWriter(output io.Writer, maxBytes int64, clock func() time.Time) *Writer {
	return &Writer{output: output, bytesLeft: maxBytes, startedAt: clock()}
}

// OffsetMs returns the time from the start of the log in milliseconds, as entries hold it.
func (w *Writer) OffsetMs(at time.Time) float64 {
	return float64(at.Sub(w.startedAt).Microseconds()) / 1000
}

// Write writes an entry. The first failure or the limit ends the log without an error: requests go on without it.
func (w *Writer) Write(entry Entry) {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.full {
		return
	}
	line, err := json.Marshal(entry)
	if err != nil {
		return
	}
	line = append(line, '\n')
	if w.bytesLeft -= int64(len(line)); w.bytesLeft < 0 {
		w.full = true
		return
	}
	_, err = w.output.Write(line)
	w.full = err != nil
}
