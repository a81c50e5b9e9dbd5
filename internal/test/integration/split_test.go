package integration

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
func startSplitFleet(t *testing.T, edges int) (*fleet, *splitFleet, map[string]*standInReplica) {
	split := newSplitFleet()
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

// requestPrompt sends a request with a prompt of that many tokens, the last hundred its own.
func (f *fleet) requestPrompt(edge int, attempt, path string, promptTokens, shared int) reply {
	own := fmt.Sprintf("%x", attempt)
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host":                  "shop.example",
		replica.HeaderAttempt:   attempt,
		replica.HeaderModel:     "swift",
		replica.HeaderTokens:    strconv.Itoa(promptTokens) + ",20",
		replica.HeaderPrefix:    fmt.Sprintf("%x:%d,%s:100", shared, promptTokens-100, own[max(len(own)-15, 0):]),
		replica.HeaderRemaining: "20000",
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

func TestSplit_LongPromptsAreReadByPrefillReplicasInTime(t *testing.T) {
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
		assert.Assert(t, split.prefills >= 17, "%d prompts were read apart", split.prefills)
		for _, run := range split.runs {
			assert.Equal(t, run.attempt, run.handleAttempt)
		}
	})
}
