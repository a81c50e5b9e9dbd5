package requestlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

const (
	// initialLineBytes is the buffer for lines to begin with, and maxLineBytes the longest line that can be read.
	initialLineBytes = 64 << 10
	maxLineBytes     = 16 << 20
)

// InvalidLine names a line that could not be used, and why.
type InvalidLine struct {
	// Line counts from 1.
	Line   int
	Reason string
}

// String names the line and the reason.
func (d InvalidLine) String() string { return fmt.Sprintf("line %d: %s", d.Line, d.Reason) }

// Read returns the valid entries in order of time, and the damaged lines. The error is that of reading itself.
func Read(input io.Reader) ([]Entry, []InvalidLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	var entries []Entry
	var damaged []InvalidLine
	for number := 1; scanner.Scan(); number++ {
		entry, err := parseLine(scanner.Bytes())
		if err != nil {
			damaged = append(damaged, InvalidLine{Line: number, Reason: err.Error()})
			continue
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(left, right Entry) int { return cmp.Compare(left.AtMs, right.AtMs) })
	return entries, damaged, scanner.Err()
}

func parseLine(line []byte) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(line, &entry); err != nil {
		return entry, err
	}
	return entry, entry.validate()
}
