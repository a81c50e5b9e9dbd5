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
	// soakSeeds is how many schedules are played unless FERRYSPAR_SOAK_SEEDS says another number.
	soakSeeds = 24
	// soakDuration is how long requests are sent in each, soakBound how long after the announcement of a replica's end, or of
	// the evacuation of its zone, a request may still reach it.
	soakDuration = 8 * time.Second
	soakBound    = 3 * time.Second
)

// soak is a split fleet under random changes, with what was forbidden since when.
type soak struct {
	*fleet
	split    *splitBackend
	replicas map[string]*standInReplica
	random   *rand.Rand

	lock      sync.Mutex
	forbidden map[string]time.Time
	replies   map[string]reply
}

// forbid records that a replica must get nothing more from now on.
func (s *soak) forbid(id string) {
	if s.forbidden[id].IsZero() {
		s.forbidden[id] = time.Now()
	}
}

// randomDecodeReplica picks a decode replica. The last one is never picked, so that requests can always be served.
func (s *soak) randomDecodeReplica() *standInReplica {
	return s.replicas[fmt.Sprintf("d-%d", 1+s.random.IntN(3))]
}

// replicaChanges are changes of replicas. Data planes stay in contact, so that what they forbid binds all of them.
var replicaChanges = []func(s *soak){
	func(s *soak) {
		leaving := s.randomDecodeReplica()
		leaving.drain(true)
		s.forbid(leaving.listed.ID)
	},
	func(s *soak) {
		reply := s.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/north", "", nil)
		if reply.status == http.StatusOK {
			s.forbid("d-1")
			s.forbid("d-2")
		}
	},
	func(s *soak) {
		s.split.lock.Lock()
		defer s.split.lock.Unlock()
		s.split.expireAtOnce["p-1"] = !s.split.expireAtOnce["p-1"]
	},
	func(s *soak) {
		s.randomDecodeReplica().setFailureMode([]string{"errors", "reset"}[s.random.IntN(2)], 2+s.random.IntN(3))
	},
	func(s *soak) { s.randomDecodeReplica().setFailureMode("", 0) },
	func(s *soak) { s.network.breakConnections(hostOf(s.randomDecodeReplica().listed.Address)) },
	func(s *soak) {
		host := hostOf(s.replicas["p-2"].listed.Address)
		s.network.blackhole(host, true)
		time.Sleep(time.Duration(50+s.random.IntN(950)) * time.Millisecond)
		s.network.blackhole(host, false)
	},
}

// nodeChanges are faults of the system's own nodes.
var nodeChanges = []func(s *soak){
	func(s *soak) {
		host := coreHost(1 + s.random.IntN(3))
		s.kill(host)
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		s.startCore(host, false, 1, 2, 3)
	},
	func(s *soak) {
		host := edgeHost(2)
		s.kill(host)
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		s.startEdge(host)
	},
	func(s *soak) {
		edge, core := edgeHost(1+s.random.IntN(2)), coreHost(1+s.random.IntN(3))
		s.network.partition(edge, core, true)
		time.Sleep(time.Duration(50+s.random.IntN(950)) * time.Millisecond)
		s.network.partition(edge, core, false)
	},
}

// send sends prompts of random sizes until the time is up.
func (s *soak) send(client int, until time.Time) {
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

// check judges what clients and replicas have seen.
func (s *soak) check(t *testing.T) {
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
			assert.Equal(t, ran[attempt], 0, "%s was promised not to run", attempt)
		}
	}
	assert.Assert(t, served*10 >= sent*8, "served %d of %d", served, sent)
	for _, run := range s.split.runs {
		assert.Equal(t, run.attempt, run.handleAttempt)
	}
}

func TestSplit_RandomChangesKeepRequestsWhole(t *testing.T) {
	seeds := soakSeeds
	if stated, err := strconv.Atoi(os.Getenv("FERRYSPAR_SOAK_SEEDS")); err == nil {
		seeds = stated
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSplitSoak(t, seed) })
		})
	}
}

// runSplitSoak plays one schedule: changes of replicas on even seeds, faults of nodes on odd ones, in series that overlap.
func runSplitSoak(t *testing.T, seed uint64) {
	f, split, replicas := startPrefillFleet(t)
	s := &soak{
		fleet: f, split: split, replicas: replicas, random: rand.New(rand.NewPCG(seed, 7)),
		forbidden: map[string]time.Time{}, replies: map[string]reply{},
	}
	changes := replicaChanges
	if seed%2 == 1 {
		changes = nodeChanges
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
