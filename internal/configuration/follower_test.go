package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// newFollower returns a follower that has adopted the document.
func newFollower(t testing.TB, document []byte) *Follower {
	t.Helper()
	follower := &Follower{}
	assert.NilError(t, follower.Replace(Compress(document)))
	return follower
}

// checkEqualsFull checks that the follower's document and table equal those built from the full document.
func checkEqualsFull(t testing.TB, follower *Follower, indexed *IndexedDocument) {
	t.Helper()
	full := newFollower(t, indexed.Document())
	assert.Equal(t, string(follower.Document()), string(indexed.Document()))
	assert.DeepEqual(t, follower.Table().Configuration, full.Table().Configuration)
	for _, route := range full.Table().Configuration.Routes {
		found, known := follower.Table().FindRoute(route.Hostname, route.PathPrefix+"x")
		assert.Assert(t, known)
		assert.DeepEqual(t, *found, route)
	}
}

// randomHistory returns a chain of random deltas, with the document before the first and after each.
func randomHistory(t testing.TB, random *rand.Rand, length int) (states []*IndexedDocument, chain []Delta) {
	t.Helper()
	states = []*IndexedDocument{mustIndex(t, exampleDocument(3, 12))}
	for revision := 8; len(chain) < length; revision++ {
		base := states[len(states)-1]
		next, err := base.Apply(randomRoutePatch(random, revision))
		if err != nil {
			continue
		}
		delta, routesOnly := NewDelta(base, next)
		assert.Assert(t, routesOnly)
		chain, states = append(chain, delta), append(states, next)
	}
	return states, chain
}

func TestFollower_DeltasInAnyBatchesEqualFullDocument(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		states, chain := randomHistory(t, random, 30)
		follower := newFollower(t, states[0].Document())
		for at := 0; at < len(chain); {
			from, to := max(at-random.IntN(3), 0), min(at+1+random.IntN(5), len(chain))
			assert.NilError(t, follower.Apply(chain[from:to]), "seed %d: %d to %d at %d", seed, from, to, at)
			checkEqualsFull(t, follower, states[to])
			at = to
		}
	}
}

func TestFollower_RejectsInvalidDeltas(t *testing.T) {
	cases := map[string]func(chain []Delta) []Delta{
		"missing delta": func(chain []Delta) []Delta { return chain[1:] },
		"lost removal": func(chain []Delta) []Delta {
			chain[0].Patch = []byte(`{"revision":8,"upsert":{"routeTable":[]}}`)
			return chain
		},
		"other base": func(chain []Delta) []Delta {
			chain[0].Base++
			return chain
		},
		"corrupt patch": func(chain []Delta) []Delta {
			chain[1].Patch = chain[1].Patch[:len(chain[1].Patch)/2]
			return chain
		},
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			first := mustIndex(t, exampleDocument(1, 5))
			second, err := first.Apply([]byte(`{"revision":8,"remove":{"routeTable":["r-0002"]}}`))
			assert.NilError(t, err)
			third, err := second.Apply([]byte(`{"revision":9,"remove":{"routeTable":["r-0003"]}}`))
			assert.NilError(t, err)
			one, _ := NewDelta(first, second)
			two, _ := NewDelta(second, third)
			follower := newFollower(t, first.Document())
			assert.Assert(t, follower.Apply(damage([]Delta{one, two})) != nil)
			assert.Equal(t, follower.Revision(), int64(7), "the configuration is unchanged")
			assert.Assert(t, !follower.AcceptsDeltas())
			assert.NilError(t, follower.Replace(Compress(third.Document())))
			assert.Assert(t, follower.AcceptsDeltas())
			checkEqualsFull(t, follower, third)
		})
	}
}

func TestNewDelta_SupportsOnlyRoutes(t *testing.T) {
	base := exampleDocument(2, 3)
	_, routesOnly := NewDelta(mustIndex(t, base), mustIndex(t, exampleDocument(3, 3)))
	assert.Assert(t, !routesOnly, "another model")
	delta, routesOnly := NewDelta(mustIndex(t, base), mustIndex(t, base))
	assert.Assert(t, routesOnly, "only the revision differs")
	assert.NilError(t, newFollower(t, base).Apply([]Delta{delta}))
}

func BenchmarkFollower_Apply(b *testing.B) {
	for _, routes := range []int{350, 1750, 20000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			document := exampleDocument(28, routes)
			first := mustIndex(b, document)
			second, err := first.Apply([]byte(`{"revision":8,"remove":{"routeTable":["r-0002"]}}`))
			assert.NilError(b, err)
			delta, _ := NewDelta(first, second)
			follower := newFollower(b, document)
			assert.NilError(b, follower.buildIndex())
			b.ReportAllocs()
			for b.Loop() {
				applied := *follower
				assert.NilError(b, applied.Apply([]Delta{delta}))
			}
		})
	}
}
