package configuration

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `{"revision":3,"extra":{"kept":1.50},"routeTable":[
{"name":"a","hostname":"One.example","pathPrefix":"/x/","routeType":"streaming","timeoutMs":1000,"backend":"s"},
{"name":"b","hostname":"one.example","pathPrefix":"/x/y/","routeType":"idempotent","timeoutMs":1000,
"trafficSplit":[{"backend":"s","weight":1},{"backend":"t","weight":3}]}],
"backends":[{"name":"s"},{"name":"t"}]}`

func TestTable_FindRouteByHostAndLongestPrefix(t *testing.T) {
	read, err := Parse([]byte(sample))
	assert.NilError(t, err)
	table := NewTable(read, nil)
	cases := map[string]string{"/x/": "a", "/x/z": "a", "/x/y/z": "b", "/x/y": "a", "/x": "", "/": "", "x/y/": ""}
	for path, want := range cases {
		route, found := table.FindRoute("ONE.example:80", path)
		assert.Equal(t, found, want != "", path)
		if found {
			assert.Equal(t, route.Name, want, path)
		}
	}
	_, found := table.FindRoute("two.example", "/x/")
	assert.Assert(t, !found)
}

func TestRoute_PickBackendFollowsWeights(t *testing.T) {
	read, err := Parse([]byte(sample))
	assert.NilError(t, err)
	seen := map[string]int{}
	for step := range 100 {
		seen[read.Routes[1].PickBackend(float64(step)/100)]++
	}
	assert.DeepEqual(t, seen, map[string]int{"s": 25, "t": 75})
}

func TestApplyPatch_ChangesOnlyNamedItems(t *testing.T) {
	patched, err := ApplyPatch([]byte(sample), []byte(`{"revision":4,"upsert":{"routeTable":[
{"name":"a","hostname":"new.example","pathPrefix":"/","timeoutMs":5,"backend":"t"},
{"name":"c","hostname":"c.example","pathPrefix":"/","timeoutMs":5,"backend":"s"}]},"remove":{"routeTable":["b"]}}`))
	assert.NilError(t, err)
	read, err := Parse(patched)
	assert.NilError(t, err)
	assert.Equal(t, read.Revision, int64(4))
	assert.Equal(t, len(read.Routes), 2)
	assert.Equal(t, read.Routes[0].Hostname, "new.example")
	assert.Equal(t, read.Routes[1].Name, "c")
	var members map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(patched, &members))
	assert.Equal(t, string(members["extra"]), `{"kept":1.50}`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"revision":"x"}`))
	f.Add([]byte(`{"revision":1,"routeTable":{}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		if read, err := Parse(content); err == nil {
			NewTable(read, content).FindRoute("a", "/")
		}
	})
}

func FuzzApplyPatch(f *testing.F) {
	f.Add([]byte(`{"revision":4,"upsert":{"routeTable":[{"name":"q"}]},"remove":{"backends":["s"]}}`))
	f.Fuzz(func(t *testing.T, change []byte) {
		if patched, err := ApplyPatch([]byte(sample), change); err == nil {
			assert.Assert(t, json.Valid(patched))
		}
	})
}
