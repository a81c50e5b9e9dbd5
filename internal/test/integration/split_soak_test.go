package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// soakSeeds is how many schedules are run unless FERRYSPAR_SOAK_SEEDS is set to another number.
	soakSeeds = 24
	// soakDuration is how long requests are sent in each, soakBound how long after the announcement of a replica's end, or of
	// the evacuation of its zone, a request may still reach it.
	soakDuration = 8 * time.Second
	soakBound    = 3 * time.Second
)

// splitSoak is a fleet with a split backend under random changes. forbidden is since when replicas must get nothing more.
type splitSoak struct {
	*fleet
	split    *splitBackend
	replicas map[string]*standInReplica
	random   *rand.Rand

	lock      sync.Mutex
	forbidden map[string]time.Time
	replies   map[string]reply
}

// forbid records that a replica must get nothing more from now on.
func (s *splitSoak) forbid(id string) {
	if s.forbidden[id].IsZero() {
		s.forbidden[id] = time.Now()
	}
}

// randomDecodeReplica picks a decode replica. The last one is never picked, so that requests can always be served.
func (s *splitSoak) randomDecodeReplica() *standInReplica {
	return s.replicas[fmt.Sprintf("d-%d", 1+s.random.IntN(3))]
}

// replicaChanges are changes of replicas. Data planes stay in contact, so that all of them learn which replicas are forbidden.
var replicaChanges = []func(s *splitSoak){
	func(s *splitSoak) {
		leaving := s.randomDecodeReplica()
		leaving.setDraining(true)
		s.forbid(leaving.listed.ID)
	},
	func(s *splitSoak) {
		reply := s.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/north", "", nil)
		if reply.status == http.StatusOK {
			s.forbid("d-1")
			s.forbid("d-2")
		}
	},
	func(s *splitSoak) {
		s.split.lock.Lock()
		defer s.split.lock.Unlock()
		s.split.expireAtOnce["p-1"] = !s.split.expireAtOnce["p-1"]
	},
	func(s *splitSoak) {
		s.randomDecodeReplica().setFailureMode([]string{"errors", "reset"}[s.random.IntN(2)], 2+s.random.IntN(3))
	},
	func(s *splitSoak) { s.randomDecodeReplica().setFailureMode("", 0) },
	func(s *splitSoak) { s.network.breakConnections(hostOf(s.randomDecodeReplica().listed.Address)) },
	func(s *splitSoak) {
		host := hostOf(s.replicas["p-2"].listed.Address)
		s.network.blackhole(host, true)
		time.Sleep(time.Duration(50+s.random.IntN(950)) * time.Millisecond)
		s.network.blackhole(host, false)
	},
}

// nodeFaults are faults of control planes, data planes and the paths between them.
var nodeFaults = []func(s *splitSoak){
	func(s *splitSoak) {
		host := coreHost(1 + s.random.IntN(3))
		s.kill(host)
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		s.startCore(host, false, 1, 2, 3)
	},
	func(s *splitSoak) {
		host := edgeHost(2)
		s.kill(host)
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		s.startEdge(host)
	},
	func(s *splitSoak) {
		edge, core := edgeHost(1+s.random.IntN(2)), coreHost(1+s.random.IntN(3))
		s.network.partition(edge, core, true)
		time.Sleep(time.Duration(50+s.random.IntN(950)) * time.Millisecond)
		s.network.partition(edge, core, false)
	},
}

// send sends prompts of random sizes until the time is up.
func (s *splitSoak) send(client int, until time.Time) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(client)))
	for number := 0; time.Now().Before(until); number++ {
		attempt := fmt.Sprintf("c%d-%d", client, number)
		tokens := []int{200, 900, 6000, 30000}[random.IntN(4)]
		got := s.requestPrompt(1+client%2, attempt, "/patient/", tokens, random.IntN(5))
		s.lock.Lock()
		s.replies[attempt] = got
		s.lock.Unlock()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// check checks the answers to clients and the executions at replicas.
func (s *splitSoak) check(t *testing.T) {
	ran := map[string]int{}
	for id, standIn := range s.replicas {
		for _, run := range standIn.executed() {
			if run.lastEvent == "" {
				ran[run.attempt]++
			}
			since := s.forbidden[id]
			assert.Assert(t, since.IsZero() || run.at.Sub(since) <= soakBound, "%s ran %s %s too late", id, run.attempt, run.at.Sub(since))
		}
	}
	served, sent := 0, 0
	for attempt, got := range s.replies {
		assert.Assert(t, ran[attempt] <= 2, "%s ran %d times", attempt, ran[attempt])
		// Clients with an even number use the data plane that is never killed.
		if (attempt[1]-'0')%2 == 0 {
			sent++
			if got.status == http.StatusOK && !got.broken {
				served++
			}
		}
		switch got.status {
		case http.StatusOK:
			assert.Assert(t, got.broken || got.body == allEvents(), "%s got %q", attempt, got.body)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			assert.Equal(t, ran[attempt], 0, "%s ran although it was rejected as not run", attempt)
		}
	}
	assert.Assert(t, served*10 >= sent*8, "served %d of %d", served, sent)
	for _, run := range s.split.runs {
		assert.Equal(t, run.attempt, run.handleAttempt)
	}
}

func TestSplit_RequestsStayCompleteUnderRandomChanges(t *testing.T) {
	seeds := soakSeeds
	if configured, err := strconv.Atoi(os.Getenv("FERRYSPAR_SOAK_SEEDS")); err == nil {
		seeds = configured
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSplitSoak(t, seed) })
		})
	}
}

// runSplitSoak runs one schedule: changes of replicas on even seeds, faults of nodes on odd ones, one after the other while
// clients send requests.
func runSplitSoak(t *testing.T, seed uint64) {
	f, split, replicas := startPrefillFleet(t)
	s := &splitSoak{
		fleet: f, split: split, replicas: replicas, random: rand.New(rand.NewPCG(seed, 7)),
		forbidden: map[string]time.Time{}, replies: map[string]reply{},
	}
	changes := replicaChanges
	if seed%2 == 1 {
		changes = nodeFaults
	}
	until := time.Now().Add(soakDuration)
	var sending sync.WaitGroup
	for client := range 6 {
		sending.Go(func() { s.send(client, until) })
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(s.random.IntN(700)) * time.Millisecond)
		changes[s.random.IntN(len(changes))](s)
	}
	sending.Wait()
	time.Sleep(split.handleLifetime + time.Second)
	assert.Equal(t, split.heldHandles(), 0)
	s.check(t)
}
