package controlstate

import (
	"encoding/hex"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/pinned"
)

func TestConfigurationRecord_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"stored configuration": new(ConfigurationRecord),
		"stored zone":          new(ZoneRecord),
		"calls carried out":    new(AppliedCalls),
	})
}

func TestAppliedCalls_BytesStayTheSame(t *testing.T) {
	var calls AppliedCalls
	digests := map[string]string{}
	revisions := []int64{0, 1, 300}
	for position, method := range []string{"PUT", "PATCH", "PUT"} {
		call := newCallDigest(method, revisions[position], []byte(`{"revision":1}`))
		digests[method+" "+string(rune('0'+position))] = hex.EncodeToString(call[:])
		calls = calls.add(revisions[position], call)
	}
	pinned.CheckJSON(t, "testdata/taken.json", map[string]any{"marks": digests, "taken": calls, "bound": maxAppliedCalls})
}

func TestDecodeConfiguration_ReadsLegacyRecord(t *testing.T) {
	legacy := json.RawMessage(`{"revision":8,"packed":"AQI=","marks":["a","b"]}`)
	record, err := DecodeConfiguration(keystore.Register{Value: legacy})
	assert.NilError(t, err)
	assert.DeepEqual(t, record, ConfigurationRecord{
		Revision:           8,
		CompressedDocument: []byte{1, 2},
		AppliedCalls:       AppliedCalls{EvictedUpTo: 7},
	})
}
