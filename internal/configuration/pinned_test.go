package configuration

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

func TestConfiguration_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"configuration": new(Configuration),
		"route":         new(Route),
		"part of route": new(Split),
		"backend":       new(Backend),
		"runtime":       new(Runtime),
		"model":         new(Model),
		"limits":        new(Limits),
		"tenant":        new(Tenant),
		"patch":         new(Patch),
	})
}

func TestDecode_ReadsEveryFieldOfADocument(t *testing.T) {
	var filled Configuration
	pinned.Fill(&filled)
	document, err := json.Marshal(filled)
	assert.NilError(t, err)
	read, err := Decode(document)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, filled)
}

func TestDecompress_ReadsDataOfEarlierVersion(t *testing.T) {
	const packed = "testdata/packed.deflate"
	const document = `{"revision":3,"routeTable":[],"backends":[],"limits":{}}`
	if _, err := os.Stat(packed); pinned.Updating() && os.IsNotExist(err) {
		pinned.CheckFile(t, packed, Compress([]byte(document)))
	}
	content, err := os.ReadFile(packed)
	assert.NilError(t, err)
	decompressed, err := Decompress(content)
	assert.NilError(t, err)
	assert.Equal(t, string(decompressed), document)
}

func TestAPIKey_DigestStaysTheSame(t *testing.T) {
	assert.Equal(t, APIKey("secret").Digest(), "sha256:2bb80d53")
}
