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

func TestTakenCalls_BytesStayTheSame(t *testing.T) {
	var taken AppliedCalls
	marks := map[string]string{}
	versions := []int64{0, 1, 300}
	for position, method := range []string{"PUT", "PATCH", "PUT"} {
		call := newCallDigest(method, versions[position], []byte(`{"revision":1}`))
		marks[method+" "+string(rune('0'+position))] = hex.EncodeToString(call[:])
		taken = taken.add(versions[position], call)
	}
	pinned.CheckJSON(t, "testdata/taken.json", map[string]any{"marks": marks, "taken": taken, "bound": maxAppliedCalls})
}

func TestDecodeConfiguration_ReadsTheFormerMemoryOfCalls(t *testing.T) {
	former := json.RawMessage(`{"revision":8,"packed":"AQI=","marks":["a","b"]}`)
	record, err := DecodeConfiguration(keystore.Register{Value: former})
	assert.NilError(t, err)
	assert.DeepEqual(t, record, ConfigurationRecord{Revision: 8, Packed: []byte{1, 2}, AppliedCalls: AppliedCalls{ForgottenUpTo: 7}})
}
