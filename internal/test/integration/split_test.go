package integration

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
)

// splitDocument is a configuration whose backend has replicas of both phases.
const splitDocument = `{"revision":1,"routeTable":[
	{"name":"quick","hostname":"shop.example","pathPrefix":"/quick/","routeType":"streaming","timeoutMs":20000,
	"targetLatencyMs":600,"priority":1,"backend":"scribes","retryCount":1,"sticky":true,"resumable":false,
	"tokenGapMs":300},
	{"name":"patient","hostname":"shop.example","pathPrefix":"/patient/","routeType":"streaming","timeoutMs":30000,
	"targetLatencyMs":600,"priority":0,"backend":"scribes","retryCount":2,"sticky":true,"resumable":true,
	"tokenGapMs":300}],
	"backends":[{"name":"scribes","healthPath":"/healthz","maxConns":640,"runtime":{"slots":64,"kvCacheTokens":200000,
	"kvTokenBytes":163840,"linkMbps":1200000,"stepSize":10,"prefixHoldS":5,"swapTimeS":1.2,"modelList":[{"name":"swift"}]}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startSplitFleet starts a fleet with two replicas of each phase and waits until its configuration is in force.
func startSplitFleet(t *testing.T, edges int) (*fleet, *splitBackend, map[string]*standInReplica) {
	split := newSplitBackend()
	replicas := map[string]*standInReplica{
		"i-1": split.newReplica("i-1", "10.1.2.1", "north", "prefill"),
		"i-2": split.newReplica("i-2", "10.2.2.1", "south", "prefill"),
		"i-3": split.newReplica("i-3", "10.1.3.1", "north", "decode"),
		"i-4": split.newReplica("i-4", "10.2.3.1", "south", "decode"),
	}
	f := startFleet(t, edges, replicas["i-1"], replicas["i-2"], replicas["i-3"], replicas["i-4"])
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, splitDocument).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f, split, replicas
}

// requestPrompt sends a request with a prompt of promptTokens tokens, the last hundred of which no other request has.
func (f *fleet) requestPrompt(edge int, attempt, path string, promptTokens, shared int) reply {
	own := fmt.Sprintf("%x", attempt)
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host":                      "shop.example",
		replica.HeaderAttemptID:     attempt,
		replica.HeaderModel:         "swift",
		replica.HeaderTokenCount:    strconv.Itoa(promptTokens) + ",20",
		replica.HeaderPromptPrefix:  fmt.Sprintf("%x:%d,%s:100", shared, promptTokens-100, own[max(len(own)-15, 0):]),
		replica.HeaderTimeRemaining: "20000",
	})
}

func TestSplit_OrdinaryRequestsNeverReachPrefillReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, split, replicas := startSplitFleet(t, 2)
		for number := range 40 {
			got := f.requestPrompt(1+number%2, fmt.Sprintf("attempt-%d", number), "/quick/", 300, number%7)
			assert.Equal(t, got.status, http.StatusOK, "%d: %s", number, got.body)
			assert.Equal(t, got.body, allEvents())
		}
		assert.Equal(t, split.misdirected, 0)
		assert.Equal(t, len(replicas["i-3"].executed())+len(replicas["i-4"].executed()), 40)
	})
}

func TestSplit_LongPromptsAreProcessedByPrefillReplicasInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, split, _ := startSplitFleet(t, 2)
		late := 0
		for number := range 20 {
			startedAt := time.Now()
			got := f.requestPrompt(1+number%2, fmt.Sprintf("attempt-%d", number), "/patient/", 9000, number%7)
			assert.Equal(t, got.status, http.StatusOK, "%d: %s", number, got.body)
			// All events but the first take 80 ms.
			if time.Since(startedAt)-80*time.Millisecond > 600*time.Millisecond {
				late++
			}
		}
		assert.Assert(t, late <= 3, "%d of 20 are late", late)
		assert.Assert(t, split.prefills >= 17, "%d prompts were processed by prefill replicas", split.prefills)
		for _, run := range split.runs {
			assert.Equal(t, run.attempt, run.handleAttempt)
		}
	})
}

// checkRunOnce expects every request to have run once, and only with its own handle.
func (b *splitBackend) checkRunOnce(t *testing.T, replicas map[string]*standInReplica, attempts int) {
	t.Helper()
	ran := map[string]int{}
	for _, standIn := range replicas {
		for _, run := range standIn.executed() {
			ran[run.attempt]++
		}
	}
	for attempt, times := range ran {
		assert.Equal(t, times, 1, attempt)
	}
	assert.Equal(t, len(ran), attempts)
	for _, run := range b.runs {
		assert.Equal(t, run.attempt, run.handleAttempt)
	}
}

func TestSplit_ExpiredHandlesAreReplacedByAnotherPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, split, replicas := startSplitFleet(t, 2)
		split.expireAtOnce["i-1"] = true
		for number := range 12 {
			got := f.requestPrompt(1+number%2, fmt.Sprintf("attempt-%d", number), "/patient/", 3000, number%5)
			assert.Equal(t, got.status, http.StatusOK, "%d: %s", number, got.body)
			assert.Equal(t, got.body, allEvents())
		}
		split.checkRunOnce(t, replicas, 12)
		assert.Equal(t, split.heldHandles(), 0)
	})
}

func TestSplit_FailingPrefillReplicasAreBypassed(t *testing.T) {
	for _, failure := range []string{"errors", "reset", "shed", "other-attempt", "malformed", "503-without-proof"} {
		t.Run(failure, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, split, replicas := startSplitFleet(t, 2)
				replicas["i-1"].setFailureMode(failure, 1)
				for number := range 12 {
					got := f.requestPrompt(1+number%2, fmt.Sprintf("attempt-%d", number), "/quick/", 3000, number%5)
					assert.Equal(t, got.status, http.StatusOK, "%d: %s", number, got.body)
				}
				split.checkRunOnce(t, replicas, 12)
			})
		})
	}
}

func TestSplit_ClientCancelAfterPrefillReleasesHandle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, split, replicas := startSplitFleet(t, 1)
		ctx, leave := context.WithCancel(context.Background())
		split.afterPrefill = func(string) { leave() }
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edgeHost(1)+":8161/quick/", strings.NewReader("prompt"))
		assert.NilError(t, err)
		request.Host = "shop.example"
		request.Header.Set(replica.HeaderAttemptID, "a")
		request.Header.Set(replica.HeaderModel, "swift")
		request.Header.Set(replica.HeaderTokenCount, "5000,20")
		request.Header.Set(replica.HeaderPromptPrefix, "1:4900,2:100")
		_, err = f.client.Do(request)
		assert.Assert(t, err != nil)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, split.prefills, 1)
		assert.Equal(t, split.heldHandles(), 0, "the KV cache is released")
		split.checkRunOnce(t, replicas, 0)
	})
}

// startFleetOfPhases starts a fleet with the given numbers of prefill and decode replicas.
func startFleetOfPhases(t *testing.T, prefill, decode int) (*fleet, *splitBackend, map[string]*standInReplica) {
	split := newSplitBackend()
	replicas := map[string]*standInReplica{}
	var list []*standInReplica
	for number := 1; number <= prefill+decode; number++ {
		phase := "decode"
		if number <= prefill {
			phase = "prefill"
		}
		id, zone := fmt.Sprintf("i-%d", number), number%3
		replicas[id] = split.newReplica(id, fmt.Sprintf("10.%d.2.%d", zone+1, number), replicaZones[zone], phase)
		replicas[id].events = 40
		list = append(list, replicas[id])
	}
	f := startFleet(t, 2, list...)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, splitDocument).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f, split, replicas
}

// countPhase counts the stand-ins of a phase.
func countPhase(replicas map[string]*standInReplica, phase discovery.Phase) int {
	count := 0
	for _, standIn := range replicas {
		if standIn.listEntry().Phase == phase {
			count++
		}
	}
	return count
}

// sendPrompts sends prompts from clients at the same time, each of them its number, and returns how many were served.
func (f *fleet) sendPrompts(clients, each, promptTokens int) int {
	var running sync.WaitGroup
	var served atomic.Int64
	for client := range clients {
		running.Go(func() {
			for number := range each {
				attempt := fmt.Sprintf("c%d-%d", client, number)
				if f.requestPrompt(1+client%2, attempt, "/patient/", promptTokens, client).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	running.Wait()
	return int(served.Load())
}

// checkPhaseOrders expects orders for phases only, and no two that a replica accepted at the same sequence number.
func checkPhaseOrders(t *testing.T, replicas map[string]*standInReplica) {
	t.Helper()
	for id, standIn := range replicas {
		accepted := map[int64]bool{}
		for _, order := range standIn.receivedOrders() {
			assert.Equal(t, order.Operation, replica.OperationPhase, id)
			if order.status == http.StatusAccepted {
				assert.Assert(t, !accepted[*order.Expected], "%s accepted two orders at sequence number %d", id, *order.Expected)
				accepted[*order.Expected] = true
			}
		}
	}
}

func TestSplit_PhasesFollowDemandWhenLeaseHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, split, replicas := startFleetOfPhases(t, 2, 10)
		served := make(chan int, 1)
		go func() { served <- f.sendPrompts(8, 20, 2000) }()
		time.Sleep(1800 * time.Millisecond)
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		assert.Assert(t, <-served >= 150, "of 160")
		prefill := countPhase(replicas, discovery.PhasePrefill)
		assert.Assert(t, prefill >= 6 && prefill <= 9, "%d prefill replicas", prefill)
		checkPhaseOrders(t, replicas)
		for _, run := range split.runs {
			assert.Equal(t, run.attempt, run.handleAttempt)
		}
	})
}
