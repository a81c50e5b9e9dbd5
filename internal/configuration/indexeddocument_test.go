package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func mustIndex(t testing.TB, document []byte) *IndexedDocument {
	t.Helper()
	parsed, err := Parse(document)
	assert.NilError(t, err)
	indexed, err := IndexDocument(document, parsed)
	assert.NilError(t, err)
	return indexed
}

// checkAgainstApplyPatch applies a patch to the indexed document and, with ApplyPatch, to the full one. It checks that both
// result in the same document or both reject the patch, and returns the resulting indexed document.
func checkAgainstApplyPatch(t testing.TB, indexed *IndexedDocument, change []byte) *IndexedDocument {
	t.Helper()
	before := indexed.Document()
	next, err := indexed.Apply(change)
	if errors.Is(err, ErrNotIndexable) {
		return indexed
	}
	full, fullErr := ApplyPatch(before, change)
	if fullErr == nil {
		_, fullErr = Parse(full)
	}
	assert.Equal(t, err == nil, fullErr == nil, "%s: indexed %v, full %v", change, err, fullErr)
	assert.Equal(t, string(indexed.Document()), string(before), "the original is unchanged")
	if err != nil {
		return indexed
	}
	assert.Equal(t, string(next.Document()), string(full), "%s", change)
	return next
}

func TestIndexedDocument_ApplyEqualsApplyPatch(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		indexed := mustIndex(t, exampleDocument(3, 12))
		applied := 0
		for step := range 60 {
			change := randomRoutePatch(random, 8+step)
			next := checkAgainstApplyPatch(t, indexed, change)
			if next != indexed {
				applied++
			}
			indexed = next
		}
		assert.Assert(t, applied > 10, "seed %[2]d: only %[1]d of 60 patches were valid", applied, seed)
	}
}

// randomRoutePatch returns a patch that adds, replaces and removes a few routes. Some of them have conflicting keys, an unknown
// backend or a timeout of 0.
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

func TestIndexedDocument_RoutesMaySwapKeys(t *testing.T) {
	indexed := mustIndex(t, exampleDocument(1, 2))
	swapped := fmt.Sprintf(`{"revision":8,"upsert":{"routeTable":[%s,%s]}}`,
		`{"name":"r-0000","hostname":"shop.example","pathPrefix":"/tell0001/","timeoutMs":1,"backend":"writers"}`,
		`{"name":"r-0001","hostname":"shop.example","pathPrefix":"/tell0000/","timeoutMs":1,"backend":"writers"}`)
	next := checkAgainstApplyPatch(t, indexed, []byte(swapped))
	assert.Equal(t, next.Revision(), int64(8))
}

func TestIndexDocument_RejectsAmbiguousDocuments(t *testing.T) {
	document := []byte(`{"revision":1,"backends":[{"name":"s"}],
		"RouteTable":[{"name":"q","hostname":"h","pathPrefix":"/","timeoutMs":1,"backend":"s"}]}`)
	parsed, err := Parse(document)
	assert.NilError(t, err)
	_, err = IndexDocument(document, parsed)
	assert.ErrorIs(t, err, ErrNotIndexable)
}

func FuzzIndexedDocument_Apply(f *testing.F) {
	f.Add([]byte(`{"revision":9,"upsert":{"routeTable":[
		{"name":"r-0001","hostname":"a","pathPrefix":"/","timeoutMs":1,"backend":"writers"}]}}`))
	f.Add([]byte(`{"revision":null,"remove":{"routeTable":["r-0001","r-0001"]}}`))
	f.Add([]byte(`{"revision":9,"upsert":{"routeTable":null},"remove":{"routeTable":[]}}`))
	document := exampleDocument(2, 4)
	f.Fuzz(func(t *testing.T, change []byte) { checkAgainstApplyPatch(t, mustIndex(t, document), change) })
}
