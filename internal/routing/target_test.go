package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
)

// replicaAt returns a decode replica with a model at a position of a snapshot, after a change, if any.
func replicaAt(index int, id string, change func(*Replica)) *Replica {
	listed := discovery.Replica{
		ID: id, Backend: "service", Address: id + ":80", Zone: "zone-0", Phase: discovery.PhaseDecode,
		Models: []discovery.LoadedModel{{Name: "m"}},
	}
	replica := NewReplica(index, listed, noon, nil)
	replica.Region = "here"
	if change != nil {
		change(replica)
	}
	return replica
}

func TestSnapshot_AdmitChecksCurrentState(t *testing.T) {
	chosen := replicaAt(0, "i-1", nil)
	prefill := replicaAt(0, "i-1", func(r *Replica) { r.Phase = discovery.PhasePrefill })
	cases := map[string]struct {
		present []*Replica
		drained map[string]bool
		regions []string
		want    error
	}{
		"unchanged":    {present: []*Replica{chosen}},
		"moved":        {present: []*Replica{replicaAt(0, "i-0", nil), replicaAt(1, "i-1", nil)}},
		"unlisted":     {present: []*Replica{replicaAt(0, "i-0", nil)}, want: ErrReplicaUnlisted},
		"nothing":      {want: ErrReplicaUnlisted},
		"draining":     {present: []*Replica{replicaAt(0, "i-1", func(r *Replica) { r.Draining = true })}, want: ErrReplicaDraining},
		"evacuated":    {present: []*Replica{chosen}, drained: map[string]bool{"zone-0": true}, want: ErrZoneDrained},
		"other phase":  {present: []*Replica{prefill}, want: ErrPhaseChanged},
		"unloaded":     {present: []*Replica{replicaAt(0, "i-1", func(r *Replica) { delete(r.Models, "m") })}, want: ErrModelUnloaded},
		"region":       {present: []*Replica{chosen}, regions: []string{"there"}, want: ErrRegionNotAllowed},
		"right region": {present: []*Replica{chosen}, regions: []string{"there", "here"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			snapshot := &Snapshot{Replicas: test.present, DrainedZones: test.drained}
			request := &Request{Backend: "service", Model: "m", AllowedRegions: test.regions}
			target, err := snapshot.Admit(request, chosen)
			assert.Equal(t, err, test.want)
			if test.want == nil {
				assert.Equal(t, target.ReplicaID(), "i-1")
				assert.Equal(t, target.Address(), "i-1:80")
			} else {
				assert.Equal(t, target, Target{})
			}
		})
	}
}

func TestSnapshot_AdmitsPrefillsAtPrefillReplicasOnly(t *testing.T) {
	prefill := replicaAt(0, "i-1", func(r *Replica) { r.Phase = discovery.PhasePrefill })
	snapshot := &Snapshot{Replicas: []*Replica{prefill}}
	_, err := snapshot.AdmitPrefill(&Request{Model: "m"}, prefill)
	assert.NilError(t, err)
	_, err = snapshot.Admit(&Request{Model: "m"}, prefill)
	assert.Equal(t, err, ErrPhaseChanged)
	snapshot = &Snapshot{Replicas: []*Replica{replicaAt(0, "i-1", nil)}}
	_, err = snapshot.AdmitPrefill(&Request{Model: "m"}, prefill)
	assert.Equal(t, err, ErrPhaseChanged)
}

// drainChosen stores a snapshot in which the replica is draining.
func drainChosen(matcher *Matcher, snapshot *Snapshot, chosen *Replica) {
	changed := *snapshot
	changed.Replicas = append([]*Replica(nil), snapshot.Replicas...)
	draining := *chosen
	draining.Draining = true
	changed.Replicas[chosen.Index] = &draining
	matcher.latest.Store(&changed)
}

func TestMatcher_CompletedPrefillContinuesAtAnotherReplica(t *testing.T) {
	matcher, snapshot := newSplitMatcher(2, 3, 1)
	request := splitRequest(1, 5000, 2000)
	first := decideSplit(t, matcher, request)
	drainChosen(matcher, snapshot, first.Replica)
	assert.Assert(t, !matcher.CompletePrefillSync(first.Prefill))
	source, left := matcher.replicas.state(first.Prefill.Replica.ID), matcher.replicas.state(first.Replica.ID)
	assert.Equal(t, left.running, 0, "the slot is released")
	assert.Equal(t, left.tokens, 0.0)
	assert.Equal(t, source.unfetched.tokens(noon), 7000.0, "the KV cache is still held")

	resubmitted := splitRequest(1, 5000, 2000)
	resubmitted.CompletedPrefill = first.Prefill
	second := decideSplit(t, matcher, resubmitted)
	assert.Assert(t, second.Replica.ID != first.Replica.ID)
	assert.Assert(t, second.Prefill == first.Prefill, "the decode step continues from the same KV cache")
	assert.Equal(t, source.running, 0, "the prefill does not run again")
	assert.Equal(t, source.unfetched.tokens(noon), 7000.0, "the KV cache counts once")
	matcher.HandleReport(Report{Ticket: second.Ticket, Outcome: OutcomeFirstEvent, At: noon})
	assert.Equal(t, source.unfetched.tokens(noon), 0.0, "the KV cache was fetched")
	matcher.HandleReport(Report{Ticket: second.Ticket, Outcome: OutcomeServed, At: noon})
	assert.Equal(t, matcher.replicas.state(second.Replica.ID).running, 0)
}

func TestMatcher_CancelledRequestReleasesCompletedPrefill(t *testing.T) {
	matcher, snapshot := newSplitMatcher(2, 1, 1)
	first := decideSplit(t, matcher, splitRequest(1, 5000, 2000))
	drainChosen(matcher, snapshot, first.Replica)
	assert.Assert(t, !matcher.CompletePrefillSync(first.Prefill))
	resubmitted := splitRequest(1, 5000, 2000)
	resubmitted.CompletedPrefill = first.Prefill
	matcher.Enqueue(resubmitted)
	assert.Equal(t, len(resubmitted.Decided), 0, "the request waits")
	matcher.Cancel(resubmitted)
	assert.Equal(t, matcher.replicas.state(first.Prefill.Replica.ID).unfetched.tokens(noon), 0.0)
}

func TestMatcher_WithdrawnRequestReleasesSlotAndKVCache(t *testing.T) {
	matcher, _ := newSplitMatcher(2, 2, 1)
	first := decideSplit(t, matcher, splitRequest(1, 5000, 2000))
	assert.Assert(t, matcher.CompletePrefillSync(first.Prefill))
	matcher.HandleReport(Report{Ticket: first.Ticket, Outcome: OutcomeWithdrawn, At: noon})
	state := matcher.replicas.state(first.Replica.ID)
	assert.Equal(t, state.running, 0)
	assert.Assert(t, !state.isSuspected(noon), "a withdrawn request does not count as a failure")
	assert.Equal(t, matcher.replicas.state(first.Prefill.Replica.ID).unfetched.tokens(noon), 0.0)
	assert.Equal(t, matcher.ledger.CachedTokens(first.Replica.ID, splitRequest(1, 5000, 2000).prompt(), noon), 0.0)
}
