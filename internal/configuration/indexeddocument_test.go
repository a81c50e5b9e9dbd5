package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func divided(t testing.TB, document []byte) *IndexedDocument {
	t.Helper()
	parsed, err := Parse(document)
	assert.NilError(t, err)
	indexed, err := IndexDocument(document, parsed)
	assert.NilError(t, err)
	return indexed
}

// checkAgainstWhole applies a change to the items and to the whole document, and expects the same document or a rejection of
// both. It returns the items that are then in force.
func checkAgainstWhole(t testing.TB, indexed *IndexedDocument, change []byte) *IndexedDocument {
	t.Helper()
	before := indexed.Document()
	next, err := indexed.Apply(change)
	if errors.Is(err, ErrNotIndexable) {
		return indexed
	}
	whole, wholeErr := ApplyPatch(before, change)
	if wholeErr == nil {
		_, wholeErr = Parse(whole)
	}
	assert.Equal(t, err == nil, wholeErr == nil, "%s: by items %v, as a whole %v", change, err, wholeErr)
	assert.Equal(t, string(indexed.Document()), string(before), "the items of before are unchanged")
	if err != nil {
		return indexed
	}
	assert.Equal(t, string(next.Document()), string(whole), "%s", change)
	return next
}

func TestItems_ApplyEqualsPatchOfTheWholeDocument(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		indexed := divided(t, exampleDocument(3, 12))
		applied := 0
		for step := range 60 {
			change := randomRoutePatch(random, 8+step)
			next := checkAgainstWhole(t, indexed, change)
			if next != indexed {
				applied++
			}
			indexed = next
		}
		assert.Assert(t, applied > 10, "%d of 60 changes of seed %d were valid", applied, seed)
	}
}

// randomRoutePatch adds, replaces and removes a few routes; some of them collide, name no service or are no routes.
func randomRoutePatch(random *rand.Rand, revision int) []byte {
	patch := Patch{Upsert: map[string]json.RawMessage{}, Remove: map[string][]string{}}
	patch.Revision, _ = json.Marshal(revision)
	var upserts []json.RawMessage
	for range random.IntN(4) {
		route := Route{
			Name:       fmt.Sprintf("r-%04d", random.IntN(16)),
			Hostname:   []string{"shop.example", "Other.example"}[random.IntN(2)],
			PathPrefix: fmt.Sprintf("/tell%04d/", random.IntN(24)),
			RouteType:  Streaming,
			TimeoutMs:  float64(random.IntN(20)),
			Backend:    []string{"writers", "writers", "writers", "writers", "writers", "unknown"}[random.IntN(6)],
		}
		content, _ := json.MarshalIndent(route, "", " ")
		upserts = append(upserts, content)
	}
	patch.Upsert[routesSection], _ = json.Marshal(upserts)
	if upserts == nil {
		delete(patch.Upsert, routesSection)
	}
	for range random.IntN(3) {
		patch.Remove[routesSection] = append(patch.Remove[routesSection], fmt.Sprintf("r-%04d", random.IntN(16)))
	}
	change, _ := json.Marshal(patch)
	return change
}

func TestItems_RoutesMaySwapTheirKeys(t *testing.T) {
	indexed := divided(t, exampleDocument(1, 2))
	swapped := fmt.Sprintf(`{"revision":8,"upsert":{"routeTable":[%s,%s]}}`,
		`{"name":"r-0000","hostname":"shop.example","pathPrefix":"/tell0001/","timeoutMs":1,"backend":"writers"}`,
		`{"name":"r-0001","hostname":"shop.example","pathPrefix":"/tell0000/","timeoutMs":1,"backend":"writers"}`)
	next := checkAgainstWhole(t, indexed, []byte(swapped))
	assert.Equal(t, next.Revision(), int64(8))
}

func TestDivide_LeavesAmbiguousDocumentsWhole(t *testing.T) {
	document := []byte(`{"revision":1,"backends":[{"name":"s"}],
		"RouteTable":[{"name":"q","hostname":"h","pathPrefix":"/","timeoutMs":1,"backend":"s"}]}`)
	parsed, err := Parse(document)
	assert.NilError(t, err)
	_, err = IndexDocument(document, parsed)
	assert.ErrorIs(t, err, ErrNotIndexable)
}

func FuzzItems_Apply(f *testing.F) {
	f.Add([]byte(`{"revision":9,"upsert":{"routeTable":[
		{"name":"r-0001","hostname":"a","pathPrefix":"/","timeoutMs":1,"backend":"writers"}]}}`))
	f.Add([]byte(`{"revision":null,"remove":{"routeTable":["r-0001","r-0001"]}}`))
	f.Add([]byte(`{"revision":9,"upsert":{"routeTable":null},"remove":{"routeTable":[]}}`))
	document := exampleDocument(2, 4)
	f.Fuzz(func(t *testing.T, change []byte) { checkAgainstWhole(t, divided(t, document), change) })
}
