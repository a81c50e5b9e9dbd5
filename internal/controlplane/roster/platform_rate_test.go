package roster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
)

const (
	// platformPageSize and platformRate are those of a platform that rejects calls over its rate, as in users' deployments.
	platformPageSize = 50
	platformRate     = 44
	// platformLatency is how long the platform takes to answer a request for a page.
	platformLatency = 12 * time.Millisecond
	// drainBound is the time within which all control planes must know that a replica is listed as draining: the shortest drainMs
	// of users' deployments, less the round trip to the data planes.
	drainBound = 2700 * time.Millisecond
	// firstListBound is the time within which all nodes must know the list after all have started.
	firstListBound = 3 * time.Second
	// takeoverTime is how long a fleet has no lease holder after all its control planes were killed.
	takeoverTime = 4 * time.Second
)

// limitedPlatform serves pages of a list of replicas and rejects calls over its rate, counted over a sliding second.
type limitedPlatform struct {
	lock     sync.Mutex
	replicas []discovery.Replica
	calls    []time.Time
	rejected int
}

func newLimitedPlatform(replicas int) *limitedPlatform {
	p := &limitedPlatform{}
	for number := range replicas {
		p.replicas = append(p.replicas, discovery.Replica{ID: fmt.Sprintf("i-%05d", number), State: discovery.StateReady})
	}
	return p
}

func (p *limitedPlatform) allow(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.calls = slices.DeleteFunc(p.calls, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(p.calls) >= platformRate {
		p.rejected++
		return false
	}
	p.calls = append(p.calls, now)
	return true
}

// RoundTrip answers a call of a discovery.Client.
func (p *limitedPlatform) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(platformLatency)
	response := &http.Response{StatusCode: http.StatusTooManyRequests, Body: http.NoBody, Header: http.Header{}}
	if !p.allow(time.Now()) {
		return response, nil
	}
	from := 0
	_, _ = fmt.Sscanf(request.URL.Query().Get("pageToken"), "p-%d", &from)
	p.lock.Lock()
	defer p.lock.Unlock()
	end := min(from+platformPageSize, len(p.replicas))
	page := discovery.Page{Instances: p.replicas[from:end]}
	if end < len(p.replicas) {
		next := fmt.Sprintf("p-%d", end)
		page.NextToken = &next
	}
	content, _ := json.Marshal(page)
	response.StatusCode, response.Body = http.StatusOK, io.NopCloser(bytes.NewReader(content))
	return response, nil
}

func (p *limitedPlatform) drain(index int) string {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.replicas[index].State = discovery.StateDraining
	return p.replicas[index].ID
}

// A list of 3000 replicas has 60 pages, of which the platform allows 44 to be read per second.
func TestRoster_ReadsLongListWithinPlatformRate(t *testing.T) {
	holders := map[string]int{
		"first node holds the lease":                         0,
		"last node holds the lease":                          2,
		"second node, after a period without a lease holder": noHolder,
	}
	for name, holder := range holders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listed := newLimitedPlatform(3000)
				cluster := startControls(t, 3, holder, listed)
				startedAt := time.Now()
				cluster.awaitLists(t, firstListBound)
				t.Logf("first list after %s", time.Since(startedAt))
				if holder == noHolder {
					time.Sleep(takeoverTime - time.Since(startedAt))
					cluster.setHolder(1)
				}
				cluster.checkDrains(t, listed)
				assert.Assert(t, cluster.oldestList() < 6*time.Second, "a list is %s old", cluster.oldestList())
				t.Logf("%d calls rejected", listed.rejected)
			})
		})
	}
}

// awaitLists waits until all nodes have a list.
func (c *controlCluster) awaitLists(t *testing.T, bound time.Duration) {
	startedAt := time.Now()
	for !c.isListKnown() {
		assert.Assert(t, time.Since(startedAt) < bound, "a node has no list")
		time.Sleep(10 * time.Millisecond)
	}
}

// checkDrains drains replicas one after the other and checks that all nodes list each as draining within drainBound.
func (c *controlCluster) checkDrains(t *testing.T, listed *limitedPlatform) {
	random := rand.New(rand.NewPCG(7, 1))
	for range 20 {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		id := listed.drain(random.IntN(3000))
		drainedAt := time.Now()
		for !c.listsDraining(id) {
			assert.Assert(t, time.Since(drainedAt) < drainBound, "%s is not listed as draining everywhere", id)
			time.Sleep(10 * time.Millisecond)
		}
	}
}
