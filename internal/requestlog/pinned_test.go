package requestlog

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/test/pinned"
)

const pinnedLog = "testdata/record.jsonl"

// pinnedEntries are entries of all kinds with every field that belongs to them.
func pinnedEntries() []Entry {
	return []Entry{
		{Kind: KindConfiguration, AtMs: 0.5, PackedConfiguration: []byte{1, 2, 253, 254}},
		{
			Kind:           KindFleet,
			AtMs:           1.25,
			DataPlaneCount: 2,
			Zone:           "north",
			DrainedZones:   []string{"south"},
			Replicas: []discovery.Replica{
				{ID: "a", Backend: "s", Zone: "north", Slots: 8, Models: []discovery.LoadedModel{{Name: "m"}}},
			},
		},
		{
			Kind:         KindRequest,
			AtMs:         100,
			AttemptID:    "attempt-1",
			Route:        "quick",
			Backend:      "s",
			Model:        "m",
			Tenant:       "shop",
			Prefix:       "aa:800,1:200",
			PromptTokens: 1000,
			OutputTokens: 60,
			TimeoutMs:    15000,
			QueuedMs:     12.5,
			FirstByteMs:  80,
			DurationMs:   900,
			Error:        "broke off",
		},
		{Kind: KindRequest, AtMs: 140, Route: "quick", Backend: "s"},
	}
}

func TestWriter_WritesLinesOfEarlierVersion(t *testing.T) {
	var written bytes.Buffer
	writer := NewWriter(&written, 1<<20, time.Now)
	for _, entry := range pinnedEntries() {
		writer.Write(entry)
	}
	pinned.CheckFile(t, pinnedLog, written.Bytes())
}

func TestRead_ReadsLogOfEarlierVersion(t *testing.T) {
	file, err := os.Open(pinnedLog)
	assert.NilError(t, err)
	defer file.Close()
	entries, invalid, err := Read(file)
	assert.NilError(t, err)
	assert.Equal(t, len(invalid), 0)
	assert.DeepEqual(t, entries, pinnedEntries())
}

func TestEntry_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"entry": new(Entry)})
}
