package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// slowPromptTokens is the size of a prompt whose prefill takes longer than any change takes to reach all data planes.
	slowPromptTokens = 40000
	// slowPrompts is how many of them are processed at the same time.
	slowPrompts = 6
	// changeAfter is the time from the requests to the change, which comes during prefill.
	changeAfter = 100 * time.Millisecond
)

// changeDuringPrefill is a change of the fleet after which the decode replicas in zone north must not run anything.
type changeDuringPrefill struct {
	name  string
	apply func(t *testing.T, f *fleet, north []*standInReplica)
}

var changesDuringPrefill = []changeDuringPrefill{
	{"draining", func(_ *testing.T, _ *fleet, north []*standInReplica) {
		for _, standIn := range north {
			standIn.setDraining(true)
		}
	}},
	{"unlisted", func(_ *testing.T, f *fleet, north []*standInReplica) {
		for _, standIn := range north {
			f.setUnlisted(standIn, true)
		}
	}},
	{"evacuated", func(t *testing.T, f *fleet, _ []*standInReplica) {
		reply := f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/north", "", nil)
		assert.Equal(t, reply.status, http.StatusOK, reply.body)
	}},
	{"phase", func(_ *testing.T, _ *fleet, north []*standInReplica) {
		for _, standIn := range north {
			standIn.lock.Lock()
			standIn.listed.Phase = "prefill"
			standIn.lock.Unlock()
		}
	}},
}

// startPrefillFleet starts a fleet with prefill replicas in zone north and decode replicas in zones north and south.
func startPrefillFleet(t *testing.T) (*fleet, *splitBackend, map[string]*standInReplica) {
	split := newSplitBackend()
	replicas := map[string]*standInReplica{}
	var list []*standInReplica
	add := func(id, host, zone, phase string) {
		replicas[id] = split.newReplica(id, host, zone, phase)
		list = append(list, replicas[id])
	}
	add("p-1", "10.1.2.1", "north", "prefill")
	add("p-2", "10.1.2.2", "north", "prefill")
	add("d-1", "10.1.3.1", "north", "decode")
	add("d-2", "10.1.3.2", "north", "decode")
	add("d-3", "10.2.3.1", "south", "decode")
	add("d-4", "10.2.3.2", "south", "decode")
	f := startFleet(t, 2, list...)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, splitDocument).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f, split, replicas
}

func TestSplit_ChangeDuringPrefillSendsHandleToAnotherReplica(t *testing.T) {
	for _, change := range changesDuringPrefill {
		t.Run(change.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, split, replicas := startPrefillFleet(t)
				var sending sync.WaitGroup
				replies := make([]reply, slowPrompts)
				for number := range slowPrompts {
					sending.Go(func() {
						attempt := fmt.Sprintf("attempt-%d", number)
						replies[number] = f.requestPrompt(1+number%2, attempt, "/patient/", slowPromptTokens, number)
					})
				}
				time.Sleep(changeAfter)
				north := []*standInReplica{replicas["d-1"], replicas["d-2"]}
				change.apply(t, f, north)
				sending.Wait()
				for _, standIn := range north {
					f.setUnlisted(standIn, false)
				}
				for number, got := range replies {
					assert.Equal(t, got.status, http.StatusOK, "%d: %s", number, got.body)
					assert.Equal(t, got.body, allEvents())
				}
				assert.Equal(t, len(replicas["d-1"].executed())+len(replicas["d-2"].executed()), 0, "ran where it must not")
				assert.Equal(t, split.misdirected, 0, "sent to a replica of another phase")
				assert.Equal(t, split.prefills, slowPrompts, "the same KV cache is used, no prompt is processed again")
				split.checkRunOnce(t, replicas, slowPrompts)
				assert.Equal(t, split.heldHandles(), 0)
			})
		})
	}
}
