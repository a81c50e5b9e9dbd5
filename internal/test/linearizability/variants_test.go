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

// rejectsOnRememberedState rejects changes based on the last state that it saw, without confirmation by a majority.
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

// withRememberedState returns a wrapper that gives each store its own memory.
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

// appliedCallsHidden hides the record of applied calls from change functions.
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

// brokenVariant is an injected fault that the checks must detect. The search for a schedule that shows it starts at from, the
// first such seed found, so that the search is short.
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
	{"immediate vote after a wipe", 126, clusterVariant(func(cluster *keystoresim.Cluster) { cluster.VotesWithoutCatchUp = true })},
	{"replies before the sync", 4, clusterVariant(func(cluster *keystoresim.Cluster) { cluster.SkipsSync = true })},
	{"missing reply counted as agreement", 2, clusterVariant(func(cluster *keystoresim.Cluster) {
		cluster.CountsMissingReplyAsGrant = true
	})},
	{"rejections based on remembered state", 1, func() variant { return variant{wrapStore: withRememberedState()} }},
	{"resends not recognized", 5, func() variant { return variant{wrapStore: withoutAppliedCalls} }},
	{"confirmation without a deadline", 2, func() variant { return variant{staysFreshUntilFailure: true} }},
	{"confirmation in spite of an undecided proposal", 2, func() variant { return variant{ignoresUndecided: true} }},
	{"late attempt of a drain performed", 88, func() variant { return variant{ignoresTokenExpiry: true} }},
}

// variantSeeds is the maximum number of schedules tried to show a fault.
const variantSeeds = 400

// TestSimulation_BrokenVariantsAreCaught counts only safety violations: a variant that merely stops replying is not caught.
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
			assert.Assert(t, false, "no schedule detects the fault")
		})
	}
}
