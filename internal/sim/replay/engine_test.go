package replay

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

const document = `{"revision":1,"routeTable":[{"name":"quick","hostname":"a","pathPrefix":"/","routeType":"streaming",
"timeoutMs":15000,"targetLatencyMs":600,"backend":"s","priority":1}],
"backends":[{"name":"s","runtime":{"slots":8,"kvCacheTokens":100000,
"modelList":[{"name":"m","weightSizeMb":1,"loadTimeS":1}]}}]}`

func recordedTraffic(requests int, model string) *bytes.Buffer {
	var written bytes.Buffer
	now := time.Unix(0, 0)
	writer := requestlog.NewWriter(&written, 1<<20, func() time.Time { return now })
	writer.Write(requestlog.Entry{Kind: requestlog.KindConfiguration, PackedConfiguration: configuration.Compress([]byte(document))})
	models := []discovery.LoadedModel{{Name: "m"}}
	writer.Write(requestlog.Entry{
		Kind:           requestlog.KindFleet,
		DataPlaneCount: 1,
		Zone:           "north",
		Replicas: []discovery.Replica{
			{ID: "a", Backend: "s", Zone: "north", Slots: 8, Models: models},
			{ID: "b", Backend: "s", Zone: "south", Slots: 8, Models: models},
		},
	})
	for number := range requests {
		writer.Write(requestlog.Entry{
			Kind:         requestlog.KindRequest,
			AtMs:         float64(100 + number*40),
			AttemptID:    fmt.Sprint(number),
			Route:        "quick",
			Backend:      "s",
			Model:        model,
			Prefix:       fmt.Sprintf("aa:800,%x:200", number%3+1),
			PromptTokens: 1000,
			OutputTokens: 60,
			TimeoutMs:    15000,
			FirstByteMs:  80,
			DurationMs:   900,
		})
	}
	return &written
}

func replayRecord(t *testing.T, from *bytes.Buffer) string {
	entries, damages, err := requestlog.Read(from)
	assert.NilError(t, err)
	assert.Equal(t, len(damages), 0)
	engine := NewEngine(routing.DefaultParameters(), "north", DefaultTimingModel())
	assert.NilError(t, engine.Play(entries))
	var printed bytes.Buffer
	engine.Summary.Print(&printed)
	outcome := engine.Summary.Routes()[0]
	assert.Equal(t, outcome.Served+outcome.Late+outcome.Rejected, outcome.Requests)
	return printed.String()
}

func TestEngine_PlayIsDeterministic(t *testing.T) {
	first := replayRecord(t, recordedTraffic(200, "m"))
	for range 3 {
		assert.Equal(t, replayRecord(t, recordedTraffic(200, "m")), first)
	}
	assert.Assert(t, strings.Contains(first, "quick"))
}

func TestEngine_RejectsRequestsOfModelNotLoaded(t *testing.T) {
	entries, _, err := requestlog.Read(recordedTraffic(5, "other"))
	assert.NilError(t, err)
	engine := NewEngine(routing.DefaultParameters(), "north", DefaultTimingModel())
	assert.NilError(t, engine.Play(entries))
	assert.Equal(t, engine.Summary.Routes()[0].Rejected, 5)
}

func TestEngine_SharedPromptsAreCached(t *testing.T) {
	entries, _, err := requestlog.Read(recordedTraffic(50, "m"))
	assert.NilError(t, err)
	engine := NewEngine(routing.DefaultParameters(), "north", DefaultTimingModel())
	assert.NilError(t, engine.Play(entries))
	assert.Assert(t, engine.Summary.Routes()[0].Affinity > 0.5)
}

func TestRead_ReportsDamagedLines(t *testing.T) {
	damaged := recordedTraffic(2, "m").String() + "{broken\n" + `{"kind":"order","atMs":5}` + "\n" + `{"kind":"tea"}` + "\n"
	entries, damages, err := requestlog.Read(strings.NewReader(damaged))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 4)
	assert.Equal(t, len(damages), 3)
	assert.Equal(t, damages[0].Line, 5)
	assert.Assert(t, strings.Contains(damages[2].String(), "tea"))
}

func TestWriter_StopsAtSizeLimit(t *testing.T) {
	var written bytes.Buffer
	writer := requestlog.NewWriter(&written, 300, time.Now)
	for range 100 {
		writer.Write(requestlog.Entry{Kind: requestlog.KindRequest, Route: "quick", Backend: "s"})
	}
	assert.Assert(t, written.Len() > 0 && written.Len() <= 300)
	_, damages, err := requestlog.Read(&written)
	assert.NilError(t, err)
	assert.Equal(t, len(damages), 0)
}
