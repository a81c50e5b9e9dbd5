package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

func TestPrintTenants_ShowsDigestsNotKeys(t *testing.T) {
	priority := 2
	source := configuration.Configuration{Tenants: []configuration.Tenant{
		{Name: "one", Keys: []configuration.APIKey{"secret-a", "secret-b"}, Priority: &priority, RatePerS: 42, Burst: 7}, {Name: "two"},
	}}
	var printed bytes.Buffer
	assert.NilError(t, printTenants(&printed, source.Redacted().Tenants))
	lines := strings.Split(printed.String(), "\n")
	assert.DeepEqual(t, strings.Fields(lines[1])[:5], []string{"one", "2", "42", "7", "2"})
	assert.Assert(t, strings.Contains(lines[1], configuration.APIKey("secret-b").Digest()))
	assert.Assert(t, strings.Contains(lines[2], "of the route"))
	assert.Assert(t, !strings.Contains(printed.String(), "secret"))
}
