// Package record writes and reads what a data plane saw, as JSON lines, for ferryspar-replay.
//
// A record holds ids, sizes and times, never bodies. Start reading at Entry.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"ferryspar/internal/platform"
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
	Kind     string             `json:"kind"`
	AtMs     float64            `json:"atMs"`
	Packed   []byte             `json:"packed,omitempty"`
	Replicas []platform.Replica `json:"replicas,omitempty"`
	Drained  []string           `json:"drained,omitempty"`
	Edges    int                `json:"edges,omitempty"`
	Zone     string             `json:"area,omitempty"`
	Attempt  string             `json:"attempt,omitempty"`
	Route    string             `json:"route,omitempty"`
	Backend  string             `json:"backend,omitempty"`
	Model    string             `json:"model,omitempty"`
	Tenant   string             `json:"tenant,omitempty"`
	Prefix   string             `json:"prefix,omitempty"`
	Prompt   float64            `json:"prompt,omitempty"`
	Output   float64            `json:"output,omitempty"`
	LeftMs   float64            `json:"leftMs,omitempty"`
	WaitedMs float64            `json:"waitedMs,omitempty"`
	FirstMs  float64            `json:"firstMs,omitempty"`
	TookMs   float64            `json:"tookMs,omitempty"`
	Error    string             `json:"problem,omitempty"`
}

// Writer writes entries up to a bound of bytes. A nil Writer writes nothing. It is safe for
// concurrent use.
type Writer struct {
	lock  sync.Mutex
	to    io.Writer
	left  int64
	began time.Time
	clock func() time.Time
	full  bool
}

// NewWriter returns a writer that stops at bound bytes; clock gives the times.
func NewWriter(to io.Writer, bound int64, clock func() time.Time) *Writer {
	return &Writer{to: to, left: bound, began: clock(), clock: clock}
}

// Milliseconds returns the time from the start of the record to at, as entries hold it.
func (w *Writer) Milliseconds(at time.Time) float64 {
	return float64(at.Sub(w.began).Microseconds()) / 1000
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
	if w.left -= int64(len(line)); w.left < 0 {
		w.full = true
		return
	}
	_, err = w.to.Write(line)
	w.full = err != nil
}

// Damage names a line that could not be used, and why.
type Damage struct {
	Line   int
	Reason string
}

func (d Damage) String() string { return fmt.Sprintf("line %d: %s", d.Line, d.Reason) }

const lineBound = 16 << 20

// Read returns the sound entries in order of time and the damaged lines. The error is that of
// reading itself.
func Read(from io.Reader) ([]Entry, []Damage, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), lineBound)
	var entries []Entry
	var damages []Damage
	for number := 1; scanner.Scan(); number++ {
		var entry Entry
		reason := ""
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			reason = err.Error()
		} else if check := checks[entry.Kind]; check == nil {
			reason = fmt.Sprintf("unknown kind %q", entry.Kind)
		} else {
			reason = check(entry)
		}
		if reason == "" && entry.AtMs < 0 {
			reason = "time below 0"
		}
		if reason != "" {
			damages = append(damages, Damage{number, reason})
			continue
		}
		entries = append(entries, entry)
	}
	sort.SliceStable(entries, func(left, right int) bool { return entries[left].AtMs < entries[right].AtMs })
	return entries, damages, scanner.Err()
}

var checks = map[string]func(entry Entry) string{
	KindConfiguration: func(entry Entry) string {
		if len(entry.Packed) == 0 {
			return "configuration without its document"
		}
		return ""
	},
	KindFleet: func(entry Entry) string {
		if entry.Edges < 0 {
			return "edges below 0"
		}
		return ""
	},
	KindRequest: func(entry Entry) string {
		if entry.Route == "" || entry.Backend == "" {
			return "order without route or backend"
		}
		if entry.LeftMs < 0 || entry.Prompt < 0 || entry.Output < 0 {
			return "order with a number below 0"
		}
		return ""
	},
}
