package requestlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRead_SortsEntriesAndReportsInvalidLines(t *testing.T) {
	entries, invalid, err := Read(strings.NewReader(`{"kind":"fleet","atMs":2,"edges":1}
{"kind":"order","atMs":1,"route":"quick","backend":"s"}
{"kind":"
{"kind":"other"}
{"kind":"layout"}
{"kind":"fleet","edges":-1}
{"kind":"order","route":"quick"}
{"kind":"order","route":"quick","backend":"s","leftMs":-1}
{"kind":"fleet","atMs":-1}
`))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Kind, KindRequest)
	assert.Equal(t, entries[1].Kind, KindFleet)
	var reasons []string
	for _, line := range invalid {
		reasons = append(reasons, line.String())
	}
	assert.DeepEqual(t, reasons, []string{
		"line 3: unexpected end of JSON input",
		`line 4: unknown kind "other"`,
		"line 5: configuration without its document",
		"line 6: edges below 0",
		"line 7: order without route or backend",
		"line 8: order with a number below 0",
		"line 9: time below 0",
	})
}

// failingOutput fails every write.
type failingOutput struct{ writes int }

func (f *failingOutput) Write([]byte) (int, error) {
	f.writes++
	return 0, errors.New("disk full")
}

func TestWriter_EndsLogAtLimitOrFailure(t *testing.T) {
	entry := Entry{Kind: KindRequest, Route: "quick", Backend: "s"}
	var written bytes.Buffer
	limited := NewWriter(&written, 100, time.Now)
	failing := &failingOutput{}
	broken := NewWriter(failing, 100, time.Now)
	for range 5 {
		limited.Write(entry)
		broken.Write(entry)
	}
	assert.Equal(t, strings.Count(written.String(), "\n"), 1)
	assert.Equal(t, failing.writes, 1)
	(*Writer)(nil).Write(entry)
}
