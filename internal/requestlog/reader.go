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
	// initialLineBytes is the initial size of the line buffer, and maxLineBytes the longest line that can be read.
	initialLineBytes = 64 << 10
	maxLineBytes     = 16 << 20
)

// InvalidLine is a line that could not be parsed or is not a valid entry.
type InvalidLine struct {
	// Line is the line number, from 1.
	Line   int
	Reason string
}

// String returns the line number and the reason.
func (l InvalidLine) String() string { return fmt.Sprintf("line %d: %s", l.Line, l.Reason) }

// Read returns the valid entries, ordered by time, and the invalid lines. It returns an error only if reading the input fails.
func Read(input io.Reader) ([]Entry, []InvalidLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	var entries []Entry
	var invalid []InvalidLine
	for number := 1; scanner.Scan(); number++ {
		entry, err := parseLine(scanner.Bytes())
		if err != nil {
			invalid = append(invalid, InvalidLine{Line: number, Reason: err.Error()})
			continue
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(left, right Entry) int { return cmp.Compare(left.AtMs, right.AtMs) })
	return entries, invalid, scanner.Err()
}

func parseLine(line []byte) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(line, &entry); err != nil {
		return entry, err
	}
	return entry, entry.validate()
}
