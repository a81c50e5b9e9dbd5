package nodesettings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `
nodeName = "edge-1"
ipAddress = "10.1.0.13"
zone = "north"
internalPorts = [7720,7735]
seedNodes = ["10.1.0.16:8166"]
unknownField = { any = "thing" }
[bindAddresses]
dataPlane = "10.1.0.13:8161"
readiness = "10.1.0.13:8167"
[cloudApi]
address = "10.200.0.79:8169"
ratePerS = 44.0
`

func TestParse_IgnoresUnknownFields(t *testing.T) {
	settings, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.NilError(t, settings.Validate(ServiceDataPlane))
	assert.Equal(t, settings.PeerAddress(), "10.1.0.13:7720")
	assert.DeepEqual(t, settings.SeedPeers(), []string{"10.1.0.16:7720"})
}

func TestSettings_CheckNamesInvalidFields(t *testing.T) {
	cases := map[string]string{
		`nodeName = "edge-1"`:            "nodeName",
		`ipAddress = "10.1.0.13"`:        "ipAddress",
		`internalPorts = [7720,7735]`:    "internalPorts",
		`seedNodes = ["10.1.0.16:8166"]`: "seedNodes",
		`dataPlane = "10.1.0.13:8161"`:   "dataPlane",
		`address = "10.200.0.79:8169"`:   "cloudApi.address",
	}
	for line, name := range cases {
		settings, err := Parse([]byte(strings.Replace(validSettings, line, "", 1)))
		assert.NilError(t, err)
		assert.ErrorContains(t, settings.Validate(ServiceDataPlane), name)
	}
	reversed, err := Parse([]byte(strings.Replace(validSettings, "[7720,7735]", "[7735,7720]", 1)))
	assert.NilError(t, err)
	assert.ErrorContains(t, reversed.Validate(ServiceDataPlane), "internalPorts")
	_, err = Parse([]byte("nodeName = "))
	assert.ErrorContains(t, err, "cannot be read")
}
