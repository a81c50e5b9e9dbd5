package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const secret = "26tta828m82thhkm"

func withTenants(tenants string) []byte {
	return []byte(strings.Replace(sample, `"backends":`, `"tenants":`+tenants+`,"backends":`, 1))
}

const twoTenants = `[{"name":"one","apiKeys":["` + secret + `","second"],"priority":0,"ratePerS":42,"burst":7},` +
	`{"name":"two","apiKeys":["third"]}]`

func TestTable_FindTenantByKeyHash(t *testing.T) {
	read, err := Parse(withTenants(twoTenants))
	assert.NilError(t, err)
	table := NewTable(read, nil)
	assert.Assert(t, table.RequiresKeys())
	for key, name := range map[string]string{secret: "one", "second": "one", "third": "two"} {
		assert.Equal(t, table.Tenant(table.FindTenant(HashKey(key))).Name, name)
	}
	for _, key := range []string{"", "Third", "third ", "sha256:", APIKey("third").Digest()} {
		assert.Equal(t, table.FindTenant(HashKey(key)), NoTenant, key)
	}
	assert.Assert(t, table.Tenant(NoTenant) == nil && table.Tenant(3) == nil)
	assert.Equal(t, table.Tenant(1).PriorityOr(5), 0)
	assert.Equal(t, table.Tenant(2).PriorityOr(5), 5)
	assert.Equal(t, table.Tenant(NoTenant).PriorityOr(5), 5)
	assert.Equal(t, read.Tenants[0].RatePerS, 42.0)
}

func TestTenant_IntersectRegions(t *testing.T) {
	for _, testCase := range []struct{ route, tenant, both []string }{
		{nil, nil, nil}, {[]string{"a"}, nil, []string{"a"}}, {nil, []string{"b"}, []string{"b"}},
		{[]string{"a", "b", "c"}, []string{"c", "b"}, []string{"b", "c"}}, {[]string{"a"}, []string{"b"}, []string{noRegion}},
	} {
		tenant := &Tenant{AllowedRegions: testCase.tenant}
		assert.DeepEqual(t, tenant.IntersectRegions(testCase.route), testCase.both)
	}
	var none *Tenant
	assert.DeepEqual(t, none.IntersectRegions([]string{"a"}), []string{"a"})
	negative := -1
	assert.Equal(t, (&Tenant{Priority: &negative}).PriorityOr(4), 0)
}

func TestTable_RequiresKeysOnlyWithTenants(t *testing.T) {
	for tenants, needed := range map[string]bool{"null": false, "[]": true, "[ ]": true} {
		read, err := Parse(withTenants(tenants))
		assert.NilError(t, err)
		assert.Equal(t, NewTable(read, nil).RequiresKeys(), needed, tenants)
	}
	read, err := Parse([]byte(sample))
	assert.NilError(t, err)
	assert.Assert(t, !NewTable(read, nil).RequiresKeys())
	written, err := json.Marshal(read)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(written), "tenants"))
}

func TestParse_RejectsInvalidTenantsWithoutLeakingKeys(t *testing.T) {
	sharedKey := `[{"name":"a","apiKeys":["` + secret + `"]},{"name":"b","apiKeys":["` + secret + `"]}]`
	for tenants, reason := range map[string]string{
		sharedKey:                          `tenants "b": a key is held by "a" already`,
		`[{"apiKeys":["` + secret + `"]}]`: "tenants[0]: name is missing",
		`[{"name":"a","apiKeys":["` + secret + `"]},{"name":"a","apiKeys":[]}]`:   "name stands twice",
		`[{"name":"a\r\nb","apiKeys":["` + secret + `"]}]`:                        "cannot stand in a header",
		`[{"name":"a","apiKeys":["` + secret + `",""]}]`:                          "apiKeys[1] is empty",
		`[{"name":"a","apiKeys":["` + secret + `\n"]}]`:                           "apiKeys[0] cannot stand in a header",
		`[{"name":"a","apiKeys":["` + APIKey(secret).Digest() + `"]}]`:            "apiKeys[0] is the digest of a key",
		`[{"name":"a","apiKeys":["` + secret + `"],"ratePerS":-1}]`:               "ratePerS is below 0",
		`[{"name":"a","apiKeys":["` + secret + `"],"burst":-0.5}]`:                "burst is below 0",
		`[{"name":"a","apiKeys":"` + secret + `"}]`:                               "cannot be read",
		`[{"name":"a","apiKeys":[{"` + secret + `":1}]}]`:                         "cannot be read",
		`[{"name":"a","apiKeys":["` + secret + `"],"ratePerS":"` + secret + `"}]`: "cannot be read",
		`{"` + secret + `":1}`: "cannot be read",
	} {
		_, err := Parse(withTenants(tenants))
		assert.ErrorContains(t, err, reason, tenants)
		assert.Assert(t, !strings.Contains(err.Error(), secret), err)
	}
}

func TestParse_RejectsQuotedNumbers(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(sample, `"timeoutMs":1000`, `"timeoutMs":"1000"`, 1)))
	assert.ErrorContains(t, err, "routeTable.timeoutMs cannot be read")
}

func TestApplyPatch_AddsAndChangesTenantsByName(t *testing.T) {
	patched, err := ApplyPatch([]byte(sample), []byte(`{"revision":4,"upsert":{"tenants":`+twoTenants+`}}`))
	assert.NilError(t, err)
	change := `{"revision":5,"upsert":{"tenants":[{"name":"two","apiKeys":["fourth"]}]},"remove":{"tenants":["one"]}}`
	patched, err = ApplyPatch(patched, []byte(change))
	assert.NilError(t, err)
	decompressed, err := Decompress(Compress(patched))
	assert.NilError(t, err)
	read, err := Parse(decompressed)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Tenants), 1)
	table := NewTable(read, nil)
	assert.Equal(t, table.Tenant(table.FindTenant(HashKey("fourth"))).Name, "two")
	assert.Equal(t, table.FindTenant(HashKey("third")), NoTenant)
	assert.Equal(t, table.FindTenant(HashKey(secret)), NoTenant)
	_, err = ApplyPatch(patched, []byte(`{"revision":6,"upsert":{"tenants":[{"apiKeys":["`+secret+`"]}]}}`))
	assert.ErrorContains(t, err, "name is missing")
	assert.Assert(t, !strings.Contains(err.Error(), secret))
}

func TestAPIKey_FormatsOnlyAsDigest(t *testing.T) {
	read, err := Parse(withTenants(twoTenants))
	assert.NilError(t, err)
	redacted, err := json.Marshal(read.Redacted())
	assert.NilError(t, err)
	remaining, err := json.Marshal(NewTable(read, nil).Configuration)
	assert.NilError(t, err)
	for _, shown := range []string{
		fmt.Sprint(read), fmt.Sprintf("%v %+v %#v %q %x", read, read, read.Tenants, read.Tenants[0].Keys, read.Tenants[0].Keys[0]),
		string(redacted), string(remaining),
	} {
		assert.Assert(t, strings.Contains(shown, APIKey(secret).Digest()), shown)
		assert.Assert(t, !strings.Contains(shown, secret) && !strings.Contains(shown, fmt.Sprintf("%x", secret)), shown)
	}
	assert.Equal(t, string(read.Tenants[0].Keys[0]), secret)
}
