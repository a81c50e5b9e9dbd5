package requestlog

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Writer writes entries up to a size limit. A nil Writer discards them. It is safe for concurrent use.
type Writer struct {
	startedAt time.Time

	// lock guards the fields below.
	lock      sync.Mutex
	output    io.Writer
	bytesLeft int64
	// isClosed reports that the size limit was reached or a write failed.
	isClosed bool
}

// NewWriter returns a writer that stops after maxBytes. The log starts at the current time of the clock.
func NewWriter(output io.Writer, maxBytes int64, clock func() time.Time) *Writer {
	return &Writer{output: output, bytesLeft: maxBytes, startedAt: clock()}
}

// OffsetMs returns the time since the start of the log in milliseconds, as used in entries.
func (w *Writer) OffsetMs(at time.Time) float64 {
	return float64(at.Sub(w.startedAt).Microseconds()) / 1000
}

// Write writes an entry. The log ends without an error at the size limit or the first failed write, since it must not affect
// requests.
func (w *Writer) Write(entry Entry) {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.isClosed {
		return
	}
	line, err := json.Marshal(entry)
	if err != nil {
		return
	}
	line = append(line, '\n')
	if w.bytesLeft -= int64(len(line)); w.bytesLeft < 0 {
		w.isClosed = true
		return
	}
	_, err = w.output.Write(line)
	w.isClosed = err != nil
}
