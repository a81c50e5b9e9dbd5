package linearizability_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

// rejectsOnRememberedState rejects on what it saw last, without a majority's confirmation.
type rejectsOnRememberedState struct {
	controlstate.Store
	memory *storeMemory
}

type storeMemory struct {
	lock      sync.Mutex
	registers map[string]keystore.Register
}

func (s *storeMemory) get(name string) (keystore.Register, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	register, known := s.registers[name]
	return register, known
}

func (s *storeMemory) put(name string, register keystore.Register) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.registers[name] = register
}

func (r rejectsOnRememberedState) Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error) {
	if register, known := r.memory.get(name); known {
		if _, rejected := decide(register); rejected != nil {
			return register, rejected
		}
	}
	register, err := r.Store.Change(ctx, name, decide)
	if err == nil {
		r.memory.put(name, register)
	}
	return register, err
}

// withRememberedState gives each store its own memory.
func withRememberedState() func(store controlstate.Store) controlstate.Store {
	memories := map[controlstate.Store]*storeMemory{}
	var lock sync.Mutex
	return func(store controlstate.Store) controlstate.Store {
		lock.Lock()
		defer lock.Unlock()
		if memories[store] == nil {
			memories[store] = &storeMemory{registers: map[string]keystore.Register{}}
		}
		return rejectsOnRememberedState{Store: store, memory: memories[store]}
	}
}

// appliedCallsHidden hides from decisions which calls were applied.
type appliedCallsHidden struct{ controlstate.Store }

func (h appliedCallsHidden) Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error) {
	return h.Store.Change(ctx, name, func(current keystore.Register) (json.RawMessage, error) {
		if name == keystore.ConfigurationKey && len(current.Value) > 0 {
			record, err := controlstate.DecodeConfiguration(current)
			if err != nil {
				return nil, err
			}
			record.AppliedCalls = controlstate.AppliedCalls{}
			current.Value, _ = json.Marshal(record)
		}
		return decide(current)
	})
}

// brokenVariant is a fault that the checks must notice, and the seed from which a schedule that shows it is searched: that
// of the first one found, so that the search is short.
type brokenVariant struct {
	name  string
	from  uint64
	build func() variant
}

func clusterVariant(breakCluster func(cluster *keystoresim.Cluster)) func() variant {
	return func() variant { return variant{breakCluster: breakCluster} }
}

func withoutAppliedCalls(store controlstate.Store) controlstate.Store {
	return appliedCallsHidden{store}
}

var variants = []brokenVariant{
	{"a wiped member that votes at once", 126, clusterVariant(func(cluster *keystoresim.Cluster) { cluster.VotesWithoutCatchUp = true })},
	{"answers before the sync", 4, clusterVariant(func(cluster *keystoresim.Cluster) { cluster.SkipsSync = true })},
	{"silence counted as agreement", 2, clusterVariant(func(cluster *keystoresim.Cluster) { cluster.CountsMissingReplyAsGrant = true })},
	{"a refusal decided on remembered ownership", 1, func() variant { return variant{wrapStore: withRememberedState()} }},
	{"resends not recognised", 5, func() variant { return variant{wrapStore: withoutAppliedCalls} }},
	{"freshness without a deadline", 2, func() variant { return variant{staysFreshUntilFailure: true} }},
	{"a digest that counts as confirmed in spite of an open one", 2, func() variant { return variant{ignoresUndecided: true} }},
	{"a late attempt of an evacuation carried out", 88, func() variant { return variant{ignoresTokenExpiry: true} }},
}

// variantSeeds bounds the search for a schedule that shows a fault.
const variantSeeds = 400

// TestSimulation_BrokenVariantsAreCaught counts faults of safety only: a variant that
// merely stops answering is not caught.
func TestSimulation_BrokenVariantsAreCaught(t *testing.T) {
	for _, broken := range variants {
		t.Run(broken.name, func(t *testing.T) {
			for seed := broken.from; seed < broken.from+variantSeeds; seed++ {
				_, err := runAndCheck(t, drawSchedule(seed), broken.build())
				if err != nil && !errors.Is(err, errNoAnswer) && !errors.Is(err, errCheckTimedOut) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			assert.Assert(t, false, "no schedule shows what is wrong")
		})
	}
}
