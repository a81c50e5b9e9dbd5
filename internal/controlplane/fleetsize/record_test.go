package fleetsize

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

var testStart = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func homes(names ...string) []peer.Neighbour {
	var list []peer.Neighbour
	for _, name := range names {
		list = append(list, peer.Neighbour{Name: name, Address: name + ":7"})
	}
	return list
}

func TestDecider_RaisesAtOnceAndLowersAfterDelay(t *testing.T) {
	decider := &Decider{}
	next, changed := decider.Next(Record{DataPlanes: 5}, Observation{DataPlanes: 7}, testStart)
	assert.Assert(t, changed)
	assert.Equal(t, next.DataPlanes, 7)

	fewer := Observation{DataPlanes: 3, Complete: true}
	_, changed = decider.Next(next, fewer, testStart)
	assert.Assert(t, !changed)
	_, changed = decider.Next(next, fewer, testStart.Add(lowerDelay-time.Second))
	assert.Assert(t, !changed)
	lowered, changed := decider.Next(next, fewer, testStart.Add(lowerDelay))
	assert.Assert(t, changed)
	assert.Equal(t, lowered.DataPlanes, 3)
}

func TestDecider_RestartsDelayWhenCountRecovers(t *testing.T) {
	decider := &Decider{}
	recorded, fewer := Record{DataPlanes: 5}, Observation{DataPlanes: 3, Complete: true}
	decider.Next(recorded, fewer, testStart)
	decider.Next(recorded, Observation{DataPlanes: 5, Complete: true}, testStart.Add(lowerDelay/2))
	decider.Next(recorded, fewer, testStart.Add(lowerDelay/2+time.Second))
	_, changed := decider.Next(recorded, fewer, testStart.Add(lowerDelay+time.Second))
	assert.Assert(t, !changed)
}

func TestDecider_NeverLowersOnIncompleteObservation(t *testing.T) {
	decider := &Decider{}
	for second := range 100 {
		observed := Observation{DataPlanes: 3}
		_, changed := decider.Next(Record{DataPlanes: 5}, observed, testStart.Add(time.Duration(second)*time.Second))
		assert.Assert(t, !changed)
	}
}

func TestDecider_RecordsStableHomes(t *testing.T) {
	decider := &Decider{}
	recorded := Record{DataPlanes: 2, Homes: homes("a", "b")}
	changedAt := func(at time.Duration, names ...string) bool {
		_, changed := decider.Next(recorded, Observation{DataPlanes: 2, Homes: homes(names...)}, testStart.Add(at))
		return changed
	}
	assert.Assert(t, !changedAt(0, "a", "b"))
	assert.Assert(t, !changedAt(time.Second, "a"))
	assert.Assert(t, !changedAt(2*time.Second, "a", "c"))
	assert.Assert(t, !changedAt(4*time.Second, "a", "c"))
	assert.Assert(t, changedAt(5*time.Second, "a", "c"))
	assert.Assert(t, !changedAt(20*time.Second), "no homes are known, so the recorded ones are kept")
	assert.Assert(t, !changedAt(40*time.Second))
}

// fakeHost is a control plane that stores the record in memory.
type fakeHost struct {
	recorder bool
	stored   Record
	observed Observation
	writes   int
}

func (h *fakeHost) IsRecorder(time.Time) bool     { return h.recorder }
func (h *fakeHost) Recorded() Record              { return h.stored }
func (h *fakeHost) Observe(time.Time) Observation { return h.observed }
func (h *fakeHost) Write(_ context.Context, decide func(Record) Record) error {
	h.writes++
	h.stored = decide(h.stored)
	return nil
}

func TestRecorder_OnlyTheHolderWritesAndOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := &fakeHost{observed: Observation{DataPlanes: 4, Homes: homes("a")}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			NewRecorder(host, time.Now).Run(ctx)
			close(ended)
		}()
		time.Sleep(10*checkInterval + time.Millisecond)
		assert.Equal(t, host.writes, 0)
		host.recorder = true
		time.Sleep(20 * checkInterval)
		assert.Equal(t, host.writes, 2, "the count, then the homes")
		assert.DeepEqual(t, host.stored, Record{DataPlanes: 4, Homes: homes("a")})
		cancel()
		<-ended
	})
}
