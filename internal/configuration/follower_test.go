package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// following is a follower of a document.
func following(t testing.TB, document []byte) *Follower {
	t.Helper()
	follower := &Follower{}
	assert.NilError(t, follower.Replace(Compress(document)))
	return follower
}

// checkFollows expects the follower's table to be the one of the whole document.
func checkFollows(t testing.TB, follower *Follower, indexed *IndexedDocument) {
	t.Helper()
	whole := following(t, indexed.Document())
	assert.Equal(t, string(follower.Document()), string(indexed.Document()))
	assert.DeepEqual(t, follower.Table().Configuration, whole.Table().Configuration)
	for _, route := range whole.Table().Configuration.Routes {
		found, known := follower.Table().FindRoute(route.Hostname, route.PathPrefix+"x")
		assert.Assert(t, known)
		assert.DeepEqual(t, *found, route)
	}
}

// randomHistory is a chain of differences with the items before and after each.
func randomHistory(t testing.TB, random *rand.Rand, length int) (states []*IndexedDocument, chain []Delta) {
	t.Helper()
	states = []*IndexedDocument{divided(t, exampleDocument(3, 12))}
	for revision := 8; len(chain) < length; revision++ {
		base := states[len(states)-1]
		next, err := base.Apply(randomRoutePatch(random, revision))
		if err != nil {
			continue
		}
		difference, only := NewDelta(base, next)
		assert.Assert(t, only)
		chain, states = append(chain, difference), append(states, next)
	}
	return states, chain
}

func TestFollower_DifferencesInAnyBatchesEqualTheWhole(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		states, chain := randomHistory(t, random, 30)
		follower := following(t, states[0].Document())
		for at := 0; at < len(chain); {
			from, to := max(at-random.IntN(3), 0), min(at+1+random.IntN(5), len(chain))
			assert.NilError(t, follower.Apply(chain[from:to]), "seed %d: %d to %d at %d", seed, from, to, at)
			checkFollows(t, follower, states[to])
			at = to
		}
	}
}

func TestFollower_RejectsDifferencesThatDoNotFit(t *testing.T) {
	planted := map[string]func(chain []Delta) []Delta{
		"one is missing": func(chain []Delta) []Delta { return chain[1:] },
		"a removal is lost": func(chain []Delta) []Delta {
			chain[0].Patch = []byte(`{"revision":8,"upsert":{"routeTable":[]}}`)
			return chain
		},
		"it was made for another base": func(chain []Delta) []Delta {
			chain[0].Base++
			return chain
		},
		"its patch is damaged": func(chain []Delta) []Delta {
			chain[1].Patch = chain[1].Patch[:len(chain[1].Patch)/2]
			return chain
		},
	}
	for name, damage := range planted {
		t.Run(name, func(t *testing.T) {
			first := divided(t, exampleDocument(1, 5))
			second, err := first.Apply([]byte(`{"revision":8,"remove":{"routeTable":["r-0002"]}}`))
			assert.NilError(t, err)
			third, err := second.Apply([]byte(`{"revision":9,"remove":{"routeTable":["r-0003"]}}`))
			assert.NilError(t, err)
			one, _ := NewDelta(first, second)
			two, _ := NewDelta(second, third)
			follower := following(t, first.Document())
			assert.Assert(t, follower.Apply(damage([]Delta{one, two})) != nil)
			assert.Equal(t, follower.Revision(), int64(7), "the configuration stays")
			assert.Assert(t, !follower.AcceptsDeltas())
			assert.NilError(t, follower.Replace(Compress(third.Document())))
			assert.Assert(t, follower.AcceptsDeltas())
			checkFollows(t, follower, third)
		})
	}
}

func TestNewDifference_OnlyOfRoutes(t *testing.T) {
	base := exampleDocument(2, 3)
	_, only := NewDelta(divided(t, base), divided(t, exampleDocument(3, 3)))
	assert.Assert(t, !only, "a model more")
	difference, only := NewDelta(divided(t, base), divided(t, base))
	assert.Assert(t, only, "nothing but a revision")
	assert.NilError(t, following(t, base).Apply([]Delta{difference}))
}

func BenchmarkFollower_Apply(b *testing.B) {
	for _, routes := range []int{350, 1750, 20000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			document := exampleDocument(28, routes)
			first := divided(b, document)
			second, err := first.Apply([]byte(`{"revision":8,"remove":{"routeTable":["r-0002"]}}`))
			assert.NilError(b, err)
			difference, _ := NewDelta(first, second)
			follower := following(b, document)
			assert.NilError(b, follower.divide())
			b.ReportAllocs()
			for b.Loop() {
				applied := *follower
				assert.NilError(b, applied.Apply([]Delta{difference}))
			}
		})
	}
}
