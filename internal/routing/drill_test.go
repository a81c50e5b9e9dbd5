package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
)

// drillOutcome is the result of runDrill.
type drillOutcome struct {
	atDrilledReplicas int                                     // drilled requests that run at drilled replicas
	routes            map[string]drill.DataPlaneRouteOutcomes // the drill's report
	harmedAttempts    []string                                // attempts that have no replica only because of the drill
}

// runDrill runs the same requests on a fleet with a drill and on one without.
func runDrill(seed uint64, share float64, change func(active *Drill)) drillOutcome {
	plain, drilled := newSimulatedFleet(seed, 6), newSimulatedFleet(seed, 6)
	notice := drill.Notice{Number: 1, Scope: drill.Scope{Zone: "isle"}, Share: share, RemainingMs: 60000, Running: true}
	active := NewDrill(notice, drilled.now, time.Hour)
	change(active)
	fleet := *drilled.snapshot.Load()
	fleet.Drill = active
	drilled.snapshot.Store(&fleet)
	for number := range 60 {
		for _, simulated := range []*simulatedFleet{plain, drilled} {
			simulated.random = newRandom(seed, number)
			simulated.step(10000 + number)
		}
	}
	var outcome drillOutcome
	for _, decision := range drilled.running {
		if request := decision.Ticket.request; decision.Replica.Zone == "isle" && request.underDrill && request.drill != nil {
			outcome.atDrilledReplicas++
		}
	}
	for index, request := range drilled.requests {
		if request.modelNotLoaded && !plain.requests[index].modelNotLoaded {
			outcome.harmedAttempts = append(outcome.harmedAttempts, request.AttemptID)
		}
	}
	outcome.routes = active.Report("", drilled.now).Routes
	return outcome
}

func TestDrill_NeverExcludesLastCopy(t *testing.T) {
	detected, keptInScope := 0, 0
	for seed := range uint64(20) {
		found := runDrill(seed, 1, func(*Drill) {})
		assert.Equal(t, found.atDrilledReplicas, 0, "seed %d", seed)
		assert.Equal(t, len(found.harmedAttempts), 0, "seed %d: %v", seed, found.harmedAttempts)
		keptInScope += found.routes["quick"].KeptInScope
		faulty := runDrill(seed, 1, func(active *Drill) {
			active.servableElsewhere = func(*Matcher, *Request, time.Time) bool { return true }
		})
		detected += min(len(faulty.harmedAttempts), 1)
	}
	assert.Assert(t, keptInScope > 0)
	assert.Assert(t, detected >= 10, "a drill that excludes the last copies was detected at %d of 20 seeds", detected)
}

func TestDrill_SmallerShareIsSubsetOfLarger(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	newDrill := func(share float64) *Drill {
		return NewDrill(drill.Notice{Share: share, RemainingMs: 1000}, now, time.Second)
	}
	small, large, all := newDrill(0.1), newDrill(0.5), newDrill(1)
	counted := [3]int{}
	for number := range 2000 {
		attempt := fmt.Sprint("attempt-", number)
		for index, active := range []*Drill{small, large, all} {
			if active.selects(attempt) {
				counted[index]++
			}
		}
		assert.Assert(t, !small.selects(attempt) || large.selects(attempt), attempt)
	}
	assert.Assert(t, counted[0] > 150 && counted[0] < 250, "%v", counted)
	assert.Assert(t, counted[1] > 920 && counted[1] < 1080, "%v", counted)
	assert.Equal(t, counted[2], 2000)
}

func TestDrill_EndsByItselfAndIsNeverExtended(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	active := NewDrill(drill.Notice{Share: 1, RemainingMs: 5000}, now, 2*time.Second)
	assert.Equal(t, active.EndReason(now.Add(1900*time.Millisecond)), "")
	assert.Equal(t, active.EndReason(now.Add(2*time.Second)), drill.EndedWithoutContact)
	active.KeepAlive(now.Add(4*time.Second), time.Hour)
	assert.Equal(t, active.EndReason(now.Add(5*time.Second)), drill.EndedByTime)
	active.KeepAlive(now.Add(4*time.Second), 100*time.Millisecond)
	assert.Equal(t, active.EndReason(now.Add(4200*time.Millisecond)), drill.EndedByTime)
	early := &Request{AttemptID: "a", ArrivedAt: now.Add(-time.Second)}
	active.admit(early, now)
	assert.Assert(t, early.drill == nil, "earlier requests are not affected")
}

func TestDrill_ExemptsRequestThatHasToWait(t *testing.T) {
	simulated := newSimulatedFleet(1, 0)
	fleet := *simulated.snapshot.Load()
	for index, zone := range []string{"east", "isle"} {
		fleet.Replicas = append(fleet.Replicas, NewReplica(index, discovery.Replica{
			ID:      zone,
			Backend: "s",
			Zone:    zone,
			Slots:   4,
			Models:  []discovery.LoadedModel{{Name: "m"}},
		}, simulated.now, nil))
	}
	fleet.Drill = NewDrill(drill.Notice{
		Number:      1,
		Scope:       drill.Scope{Zone: "isle"},
		Share:       1,
		RemainingMs: 60000,
	}, simulated.now, time.Hour)
	simulated.snapshot.Store(&fleet)
	simulated.matcher.replicas.watch("east").fullUntil = simulated.now.Add(time.Hour)
	request := &Request{
		AttemptID:     "a",
		Backend:       "s",
		Model:         "m",
		Route:         "quick",
		ArrivedAt:     simulated.now,
		Deadline:      simulated.now.Add(20 * time.Second),
		LatencyTarget: 600 * time.Millisecond,
	}
	simulated.matcher.Enqueue(request)
	assert.Equal(t, len(request.Decided), 0, "drilled replicas are excluded at first")
	simulated.now = simulated.now.Add(retryInterval)
	simulated.matcher.Wake()
	assert.Equal(t, len(request.Decided), 1, "the request is exempted at its second try, whatever its latency target")
	decision := <-request.Decided
	assert.Equal(t, decision.Replica.ID, "isle")
	assert.Equal(t, fleet.Drill.Report("", simulated.now).Routes["quick"].Drilled.Exempted, 1)
}
