package replay

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
	"ferryspar/internal/test/pinned"
)

// pinnedRecord is a record with all kinds of entries, written by an earlier version.
const pinnedRecord = "testdata/day.jsonl"

func TestEngine_ReplaysRecordOfEarlierVersion(t *testing.T) {
	if _, err := os.Stat(pinnedRecord); pinned.Updating() && os.IsNotExist(err) {
		pinned.CheckFile(t, pinnedRecord, recordedTraffic(20, "m").Bytes())
	}
	file, err := os.Open(pinnedRecord)
	assert.NilError(t, err)
	defer file.Close()
	entries, damages, err := requestlog.Read(file)
	assert.NilError(t, err)
	assert.Equal(t, len(damages), 0)
	assert.Equal(t, len(entries), 22)
	engine := NewEngine(routing.DefaultParameters(), "north", DefaultTimingModel())
	assert.NilError(t, engine.Play(entries))
	var printed bytes.Buffer
	engine.Summary.Print(&printed)
	pinned.CheckFile(t, "testdata/summary.txt", printed.Bytes())
	pinned.CheckJSON(t, "testdata/summary.json", engine.Summary.Routes())
}

func TestRouteSummary_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"summary of a route": new(RouteSummary)})
}
