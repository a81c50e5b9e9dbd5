package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/event"
	"ferryspar/internal/lease"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replicastate"
)

// placingScheduler holds the lease by a grant of the fence given and manages one replica that holds "m".
func placingScheduler(now *time.Time, fence uint64) (*Scheduler, []platform.Replica) {
	settings := nodesettings.Settings{CloudAPI: nodesettings.CloudAPI{MaxLagMs: 800}}
	w := &Scheduler{
		daemon:   &Node{clock: func() time.Time { return *now }, settings: settings, publisher: NewPublisher(), endpoints: NewEndpointPublisher()},
		heldOnce: map[string]map[string]bool{},
		managed:  map[string]*managedReplica{},
		overlays: map[string]overlay{},
		sizes:    place.NewSizeHistory(),
	}
	w.grant = &lease.Grant{Record: lease.Record{Fence: fence}, GrantedAt: *now, ExpiresAt: now.Add(time.Hour)}
	listed := []platform.Replica{{ID: "r", Backend: "s", Address: "here", Models: []platform.LoadedModel{{Name: "m"}}}}
	w.adoptList(listed, *now)
	return w, listed
}

func TestGivenAReplicaThatSomeListsLeaveOutThenItsOrderIsNotForgottenUntilItIsLongGone(t *testing.T) {
	now := testStart
	w, listed := placingScheduler(&now, 1)
	one := w.managed["r"]
	assert.Assert(t, one.state.Reported(replicastate.Report{Held: map[string]bool{"m": true}}, now))
	_, decided := one.state.Decide(replicastate.Change{Load: true, Reference: "n"}, now)
	assert.Assert(t, decided)
	w.adoptList(nil, now)
	now = now.Add(absenceKept - time.Millisecond)
	w.adoptList(listed, now)
	assert.Equal(t, w.managed["r"], one)
	assert.Equal(t, one.state.Phase(), replicastate.Ordered)
	w.adoptList(nil, now)
	now = now.Add(absenceKept)
	w.adoptList(nil, now)
	assert.Equal(t, len(w.managed), 0)
}

func TestGivenAListThatKeepsContradictingAReportThenTheReplicaIsAskedAgain(t *testing.T) {
	now := testStart
	w, listed := placingScheduler(&now, 1)
	one := w.managed["r"]
	assert.Assert(t, one.state.Reported(replicastate.Report{Held: map[string]bool{"n": true}}, now))
	one.overlayAt = now
	for range 3 {
		now = now.Add(time.Second)
		assert.Assert(t, !one.state.AskDue(now), "the list may lag")
		w.adoptList(append([]platform.Replica{}, listed...), now)
	}
	assert.Assert(t, one.state.AskDue(now))
}

func TestGivenAGrantThatFollowsAnotherThenNoReportFromItsFirstMomentsIsAskedFor(t *testing.T) {
	for fence, waits := range map[uint64]bool{1: false, 2: true} {
		now := testStart
		w, _ := placingScheduler(&now, fence)
		assert.Equal(t, w.managed["r"].state.AskDue(now), !waits)
		assert.Assert(t, w.managed["r"].state.AskDue(now.Add(reportAge)))
	}
}

func TestGivenAGrantThatSeemsOverWhenItIsRenewedAfterAllThenItsOrdersAreStillKnown(t *testing.T) {
	now := testStart
	w, _ := placingScheduler(&now, 1)
	one := w.managed["r"]
	assert.Assert(t, one.state.Reported(replicastate.Report{Held: map[string]bool{"m": true}}, now))
	order, decided := one.state.Decide(replicastate.Change{Load: true, Reference: "n"}, now)
	assert.Assert(t, decided)
	w.daemon.scheduler, w.daemon.bus = w, event.New()
	renewed := *w.grant
	now = w.grant.ExpiresAt
	w.adoptGrant(w.grant)
	w.adoptGrant(nil)
	one.state.Answer(order, replicastate.NoAnswer, now)
	renewed.ExpiresAt = now.Add(time.Second)
	w.adoptGrant(&renewed)
	assert.Equal(t, w.managed["r"], one)
	assert.Assert(t, w.managed["r"].state.MayHold()["n"])
	assert.Equal(t, w.grant.ExpiresAt, renewed.ExpiresAt)
}
