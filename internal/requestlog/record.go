// Package requestlog writes and reads what a data plane saw, as JSON lines, for ferryspar-replay.
//
// A record holds ids, sizes and times, never bodies. Start reading at Entry.
package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"ferryspar/internal/discovery"
)

// Kinds of entries.
const (
	KindConfiguration = "layout"
	KindFleet         = "fleet"
	KindRequest       = "order"
)

// Entry is one line. AtMs counts from the start of the record; which other fields are set depends
// on Kind.
type Entry struct {
	Kind                string              `json:"kind"`
	AtMs                float64             `json:"atMs"`
	PackedConfiguration []byte              `json:"packed,omitempty"`
	Replicas            []discovery.Replica `json:"replicas,omitempty"`
	DrainedZones        []string            `json:"drained,omitempty"`
	EdgeCount           int                 `json:"edges,omitempty"`
	Zone                string              `json:"area,omitempty"`
	AttemptID           string              `json:"attempt,omitempty"`
	Route               string              `json:"route,omitempty"`
	Backend             string              `json:"backend,omitempty"`
	Model               string              `json:"model,omitempty"`
	Tenant              string              `json:"tenant,omitempty"`
	Prefix              string              `json:"prefix,omitempty"`
	PromptTokens        float64             `json:"prompt,omitempty"`
	OutputTokens        float64             `json:"output,omitempty"`
	TimeoutMs           float64             `json:"leftMs,omitempty"`
	QueuedMs            float64             `json:"waitedMs,omitempty"`
	FirstByteMs         float64             `json:"firstMs,omitempty"`
	DurationMs          float64             `json:"tookMs,omitempty"`
	Error               string              `json:"problem,omitempty"`
}

// Writer writes entries up to a bound of bytes. A nil Writer writes nothing. It is safe for
// concurrent use.
type Writer struct {
	lock      sync.Mutex
	output    io.Writer
	bytesLeft int64
	startedAt time.Time
	clock     func() time.Time
	full      bool
}

// NewWriter returns a writer that stops at bound bytes; clock gives the times.
func NewWriter(output io.Writer, maxBytes int64, clock func() time.Time) *Writer {
	return &Writer{output: output, bytesLeft: maxBytes, startedAt: clock(), clock: clock}
}

// Milliseconds returns the time from the start of the record to at, as entries hold it.
func (w *Writer) OffsetMs(at time.Time) float64 {
	return float64(at.Sub(w.startedAt).Microseconds()) / 1000
}

// Write writes an entry. The first failure or the bound ends the record without an error.
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

// DamagedLine names a line that could not be used, and why.
type DamagedLine struct {
	Line   int
	Reason string
}

func (d DamagedLine) String() string { return fmt.Sprintf("line %d: %s", d.Line, d.Reason) }

const maxLineBytes = 16 << 20

// Read returns the sound entries in order of time and the damaged lines. The error is that of
// reading itself.
func Read(input io.Reader) ([]Entry, []DamagedLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	var entries []Entry
	var damaged []DamagedLine
	for number := 1; scanner.Scan(); number++ {
		var entry Entry
		reason := ""
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			reason = err.Error()
		} else if validate := validators[entry.Kind]; validate == nil {
			reason = fmt.Sprintf("unknown kind %q", entry.Kind)
		} else {
			reason = validate(entry)
		}
		if reason == "" && entry.AtMs < 0 {
			reason = "time below 0"
		}
		if reason != "" {
			damaged = append(damaged, DamagedLine{number, reason})
			continue
		}
		entries = append(entries, entry)
	}
	sort.SliceStable(entries, func(left, right int) bool { return entries[left].AtMs < entries[right].AtMs })
	return entries, damaged, scanner.Err()
}

var validators = map[string]func(entry Entry) string{
	KindConfiguration: func(entry Entry) string {
		if len(entry.PackedConfiguration) == 0 {
			return "configuration without its document"
		}
		return ""
	},
	KindFleet: func(entry Entry) string {
		if entry.EdgeCount < 0 {
			return "edges below 0"
		}
		return ""
	},
	KindRequest: func(entry Entry) string {
		if entry.Route == "" || entry.Backend == "" {
			return "order without route or backend"
		}
		if entry.TimeoutMs < 0 || entry.PromptTokens < 0 || entry.OutputTokens < 0 {
			return "order with a number below 0"
		}
		return ""
	},
}
