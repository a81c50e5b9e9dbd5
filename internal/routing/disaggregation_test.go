package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// splitSlots and splitMemory are the slots and the KV memory of the replicas of a disaggregated test backend.
const (
	splitSlots  = 64
	splitMemory = 200000
)

// newSplitMatcher returns a matcher in zone-0 with a disaggregated backend: the given number of replicas of each phase, spread
// over zones.
func newSplitMatcher(prefill, decode, zones int) (*Matcher, *Snapshot) {
	now := noon
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name: "service",
		Runtime: &configuration.Runtime{
			Slots: splitSlots, KvCacheTokens: splitMemory, KvTokenBytes: 163840, LinkMbps: 1200000, PrefixHoldS: 5,
			Models: []configuration.Model{{Name: "m"}},
		},
	}}}, nil)
	snapshot := &Snapshot{
		Table:          table,
		DrainedZones:   map[string]bool{},
		DataPlaneCount: 10,
		ListedAt:       now,
		PeerLoadsAt:    now,
		PeerLoads:      map[string]peer.ReplicaLoad{},
	}
	add := func(id string, zone int, phase discovery.Phase) {
		listed := discovery.Replica{
			ID: id, Backend: "service", Zone: "zone-" + strconv.Itoa(zone), Slots: splitSlots, Phase: phase,
			Models: []discovery.LoadedModel{{Name: "m"}},
		}
		snapshot.Replicas = append(snapshot.Replicas, NewReplica(len(snapshot.Replicas), listed, now, nil))
	}
	for index := range prefill {
		add(fmt.Sprintf("p-%d", index), index%zones, discovery.PhasePrefill)
	}
	for index := range decode {
		add(fmt.Sprintf("d-%d", index), index%zones, discovery.PhaseDecode)
	}
	latest := &atomic.Pointer[Snapshot]{}
	latest.Store(snapshot)
	matcher := NewMatcher(DefaultParameters(), "zone-0", func() time.Time { return now }, latest)
	return matcher, snapshot
}

// splitRequest returns a request whose prompt has a shared part and a part of its own.
func splitRequest(number int, sharedTokens, ownTokens float64) *Request {
	parts := []PromptPart{{uint64(number%7) + 1, sharedTokens}, {uint64(number) + 1000, ownTokens}}
	return &Request{
		AttemptID:        "a" + strconv.Itoa(number),
		Backend:          "service",
		Model:            "m",
		Parts:            parts,
		PrefixHashes:     HashPrefixes(parts),
		PromptTokens:     sharedTokens + ownTokens,
		OutputTokens:     50,
		ArrivedAt:        noon,
		Deadline:         noon.Add(4 * time.Second),
		LatencyTarget:    500 * time.Millisecond,
		MaxTokenGap:      200 * time.Millisecond,
		ExcludedReplicas: map[string]bool{},
	}
}

// decideSplit enqueues a request and returns the decision, which must be made at once.
func decideSplit(t *testing.T, matcher *Matcher, request *Request) Decision {
	t.Helper()
	matcher.Enqueue(request)
	select {
	case decision := <-request.Decided:
		return decision
	default:
		t.Fatal("the request waits")
		return Decision{}
	}
}

func TestMatcher_PrefillsLongPromptsAtPrefillReplica(t *testing.T) {
	matcher, _ := newSplitMatcher(4, 4, 2)
	decision := decideSplit(t, matcher, splitRequest(1, 5000, 2000))
	assert.Equal(t, decision.Replica.Phase, discovery.PhaseDecode)
	assert.Assert(t, decision.Prefill != nil)
	assert.Equal(t, decision.Prefill.Replica.Phase, discovery.PhasePrefill)
	assert.Equal(t, decision.Prefill.Replica.Zone, decision.Replica.Zone, "the KV cache is transferred within a zone")
	assert.Assert(t, decision.Prefill.Timeout >= inactivityTimeout)
}

func TestMatcher_NeverDecodesAtPrefillReplica(t *testing.T) {
	matcher, snapshot := newSplitMatcher(5, 0, 1)
	request := splitRequest(1, 200, 100)
	matcher.Enqueue(request)
	assert.Equal(t, len(request.Decided), 0, "there is no decode replica")
	for _, replica := range snapshot.Replicas {
		assert.Assert(t, !replica.Serves(request))
	}
}

func TestMatcher_PrefillsAtDecodeReplicaWithoutPrefillReplicas(t *testing.T) {
	matcher, _ := newSplitMatcher(0, 3, 1)
	decision := decideSplit(t, matcher, splitRequest(1, 5000, 2000))
	assert.Assert(t, decision.Prefill == nil)
	assert.Equal(t, decision.Replica.Phase, discovery.PhaseDecode)

	matcher, _ = newSplitMatcher(2, 2, 1)
	request := splitRequest(2, 5000, 2000)
	request.NoPrefillStep = true
	assert.Assert(t, decideSplit(t, matcher, request).Prefill == nil)
}

func TestMatcher_AllowedRegionsApplyToBothSteps(t *testing.T) {
	matcher, snapshot := newSplitMatcher(6, 6, 3)
	for _, replica := range snapshot.Replicas {
		replica.Region = map[string]string{"zone-0": "far", "zone-1": "home", "zone-2": "far"}[replica.Zone]
	}
	for number := range 40 {
		request := splitRequest(number, 3000, 500)
		request.AllowedRegions = []string{"home"}
		decision := decideSplit(t, matcher, request)
		assert.Equal(t, decision.Replica.Region, "home")
		assert.Equal(t, decision.Prefill.Replica.Region, "home")
	}
}

func TestMatcher_DrainedZonesGetNoPrefill(t *testing.T) {
	matcher, snapshot := newSplitMatcher(6, 6, 3)
	snapshot.DrainedZones["zone-0"] = true
	for number := range 40 {
		decision := decideSplit(t, matcher, splitRequest(number, 3000, 500))
		assert.Assert(t, decision.Replica.Zone != "zone-0")
		assert.Assert(t, decision.Prefill.Replica.Zone != "zone-0")
	}
}

// The matcher's choice is compared with the best pair of candidates of both phases, found by exhaustive search.
func TestMatcher_PairEqualsExhaustiveChoice(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for round := range 300 {
		zones := 1 + random.IntN(3)
		matcher, snapshot := newSplitMatcher(zones+random.IntN(5), zones+random.IntN(5), zones)
		for _, replica := range snapshot.Replicas {
			snapshot.PeerLoads[replica.ID] = peer.ReplicaLoad{
				Running:       random.IntN(20),
				PrefillTokens: float64(random.IntN(5000)),
			}
		}
		matcher.useLatestSnapshot()
		request := splitRequest(round, float64(random.IntN(8000)), 700+float64(random.IntN(3000)))
		matcher.graph.rowStarts = matcher.graph.rowStarts[:0]
		matcher.buildNodes([]*Request{request}, noon)
		row := requestRow{request: request, prefillFactor: 1, useLedger: true}
		matcher.graph.rowStarts = append(matcher.graph.rowStarts, 0)
		matcher.graph.arcs, matcher.graph.scored = matcher.graph.arcs[:0], matcher.graph.scored[:0]
		matcher.addRow(&row, noon)
		best := math.Inf(-1)
		for _, scored := range matcher.graph.scored {
			best = max(best, scored.weight)
		}
		ranked := matcher.prefillCandidates(&row, nil, noon)
		exhaustive := math.Inf(-1)
		for index := range matcher.graph.nodes {
			for rank, at := range ranked.nodes[:ranked.count] {
				choice := matcher.scorePrefill(&row, at, expectedHitRates[rank]*row.sharedTokens, noon)
				pair := matcher.scorePair(&row, &choice, &matcher.graph.nodes[index], noon)
				exhaustive = max(exhaustive, pair.weight)
			}
		}
		matcher.graph.reset()
		// The exhaustive search also includes decode replicas beyond the candidates of their zone.
		if len(matcher.graph.nodes) <= candidateCount {
			assert.Assert(t, math.Abs(best-exhaustive) < 1e-9, "round %d: %f, exhaustive %f", round, best, exhaustive)
		} else {
			assert.Assert(t, best <= exhaustive+1e-9)
		}
	}
}

func TestMatcher_DecodeSlotIsReservedDuringPrefill(t *testing.T) {
	matcher, _ := newSplitMatcher(1, 1, 1)
	request := splitRequest(1, 5000, 2000)
	decision := decideSplit(t, matcher, request)
	prefill, decode := matcher.replicas.state("p-0"), matcher.replicas.state("d-0")
	assert.Equal(t, prefill.running, 1)
	assert.Equal(t, decode.running, 1)
	assert.Equal(t, decode.tokens, request.TotalTokens())
	assert.Equal(t, len(decode.awaitingFirst), 0, "the decode step was not sent yet")

	at := noon.Add(200 * time.Millisecond)
	matcher.HandleReport(Report{Ticket: decision.Prefill.Ticket, Outcome: OutcomePrefilled, At: at})
	assert.Equal(t, prefill.running, 0)
	assert.Equal(t, prefill.unfetched.tokens(at), request.PromptTokens)
	assert.Equal(t, len(decode.awaitingFirst), 1)
	assert.Equal(t, matcher.demand.running[request.modelKey()], 1)

	at = at.Add(30 * time.Millisecond)
	matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeFirstEvent, At: at})
	assert.Equal(t, prefill.unfetched.tokens(at), 0.0, "the KV cache was fetched")
	matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeServed, At: at})
	assert.Equal(t, decode.running, 0)
	assert.Equal(t, decode.tokens, 0.0)
	assert.Equal(t, prefill.tokens, 0.0)
	assert.Equal(t, len(matcher.demand.running), 0)
}

// After a request ends in any way, all its counts are taken back, except for a KV cache whose handle was lost and that has not
// expired yet.
func TestMatcher_EndedRequestLeavesNoCountsAtEitherReplica(t *testing.T) {
	for name, test := range map[string]struct {
		prefill  []Outcome
		decode   []Outcome
		orphaned bool
	}{
		"served":               {[]Outcome{OutcomePrefilled}, []Outcome{OutcomeFirstEvent, OutcomeProgress, OutcomeServed}, false},
		"prefill rejected":     {[]Outcome{OutcomeFull}, []Outcome{OutcomeCancelled}, false},
		"prefill not reached":  {[]Outcome{OutcomeUnreachable}, []Outcome{OutcomeCancelled}, false},
		"other phase":          {[]Outcome{OutcomeModelMissing}, []Outcome{OutcomeCancelled}, false},
		"prefill answer lost":  {[]Outcome{OutcomeTruncated}, []Outcome{OutcomeCancelled}, true},
		"client left at first": {[]Outcome{OutcomeCancelled}, []Outcome{OutcomeCancelled}, true},
		"client left between":  {[]Outcome{OutcomePrefilled}, []Outcome{OutcomeCancelled}, false},
		"handle gone":          {[]Outcome{OutcomePrefilled}, []Outcome{OutcomeHandleGone}, false},
		"decode broke off":     {[]Outcome{OutcomePrefilled}, []Outcome{OutcomeFirstEvent, OutcomeTruncated}, false},
		"reported twice":       {[]Outcome{OutcomePrefilled, OutcomePrefilled}, []Outcome{OutcomeFirstEvent, OutcomeServed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			matcher, _ := newSplitMatcher(1, 1, 1)
			request := splitRequest(1, 5000, 2000)
			decision := decideSplit(t, matcher, request)
			for _, outcome := range test.prefill {
				matcher.HandleReport(Report{Ticket: decision.Prefill.Ticket, Outcome: outcome, At: noon})
			}
			for _, outcome := range test.decode {
				matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: outcome, At: noon})
			}
			for _, id := range []string{"p-0", "d-0"} {
				state := matcher.replicas.state(id)
				assert.Equal(t, state.running, 0, id)
				assert.Equal(t, state.tokens, 0.0, id)
				assert.Equal(t, state.pendingTokens, 0.0, id)
				assert.Equal(t, len(state.awaitingFirst)+len(state.inFlight), 0, id)
			}
			assert.Equal(t, len(matcher.demand.running), 0)
			unfetched := &matcher.replicas.state("p-0").unfetched
			assert.Equal(t, unfetched.tokens(noon) > 0, test.orphaned)
			assert.Equal(t, unfetched.tokens(noon.Add(5*time.Second)), 0.0)
		})
	}
}

func TestMatcher_CancelBeforeSendReleasesBothReplicas(t *testing.T) {
	matcher, _ := newSplitMatcher(1, 1, 1)
	request := splitRequest(1, 5000, 2000)
	matcher.Enqueue(request)
	matcher.Cancel(request)
	for _, id := range []string{"p-0", "d-0"} {
		state := matcher.replicas.state(id)
		assert.Equal(t, state.running, 0, id)
		assert.Equal(t, state.tokens, 0.0, id)
	}
	assert.Equal(t, matcher.replicas.state("p-0").unfetched.tokens(noon), 0.0, "the prefill did not run")
}

func TestMatcher_HandleGoneCountsAsFailureOfPrefillReplica(t *testing.T) {
	matcher, _ := newSplitMatcher(2, 1, 1)
	request := splitRequest(1, 5000, 2000)
	first := decideSplit(t, matcher, request)
	matcher.HandleReport(Report{Ticket: first.Prefill.Ticket, Outcome: OutcomePrefilled, At: noon})
	matcher.HandleReport(Report{Ticket: first.Ticket, Outcome: OutcomeHandleGone, At: noon})
	source := first.Prefill.Replica.ID
	assert.Assert(t, matcher.health.counter(source).Failed > 0)
	assert.Equal(t, matcher.health.counter("d-0").Failed, 0.0)
	second := decideSplit(t, matcher, splitRequest(8, 5000, 2000))
	assert.Assert(t, second.Prefill.Replica.ID != source, "the replica is avoided during the backoff")
}

// Data planes that see the same loads choose the same prefill replica for a prefix, and prefixes are spread over replicas.
func TestMatcher_DataPlanesChooseSamePrefillReplicaForPrefix(t *testing.T) {
	chosen := map[uint64]map[string]bool{}
	used := map[string]bool{}
	for range 5 {
		matcher, _ := newSplitMatcher(12, 12, 3)
		for number := range 7 {
			request := splitRequest(number, 6000, 400)
			decision := decideSplit(t, matcher, request)
			prefix, _ := request.sharedPrefix()
			if chosen[prefix] == nil {
				chosen[prefix] = map[string]bool{}
			}
			chosen[prefix][decision.Prefill.Replica.ID] = true
			used[decision.Prefill.Replica.ID] = true
		}
	}
	for prefix, replicas := range chosen {
		assert.Equal(t, len(replicas), 1, "prefix %x", prefix)
	}
	assert.Assert(t, len(used) >= 4, "%v", used)
}

func TestCandidates_AreTheHighestRanked(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var ranked candidates
		hashes := map[int]uint64{}
		for node := range 1 + random.IntN(12) {
			hashes[node] = random.Uint64()
			ranked.add(node, hashes[node])
		}
		assert.Equal(t, ranked.count, min(len(hashes), candidateCount))
		for rank := 1; rank < ranked.count; rank++ {
			assert.Assert(t, ranked.hashes[rank-1] > ranked.hashes[rank])
		}
		for node, hash := range hashes {
			above := 0
			for _, other := range hashes {
				if other > hash {
					above++
				}
			}
			if above < candidateCount {
				assert.Equal(t, ranked.nodes[above], node)
			}
		}
	}
}

func TestStepModel_LearnsWithinItsLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	model := newStepModel(stepPrefill)
	for range 500 {
		uncached, pending := random.Float64()*8, random.Float64()*10
		features := Features{featureIntercept: 1, featureUncached: uncached, featurePending: pending, featureUtilization: random.Float64()}
		model.observe(features, 20+30*uncached+15*pending+10*random.Float64())
	}
	assert.Assert(t, math.Abs(model.prefillMsPerThousand()-30) < 5, "%f", model.prefillMsPerThousand())
	for range 500 {
		model.observe(Features{featureIntercept: 1, featureUncached: 1}, 1e6)
	}
	for index, limits := range model.limits {
		weight := model.predictor.weights[index]
		assert.Assert(t, weight >= limits.lower && weight <= limits.upper)
	}
}

// serveBatch assigns a batch and reports each request that was sent as served.
func serveBatch(matcher *Matcher, requests []*Request) {
	matcher.assign(requests, noon)
	for _, request := range requests {
		if len(request.Decided) == 0 {
			continue
		}
		decision := <-request.Decided
		if decision.Prefill != nil {
			matcher.HandleReport(Report{Ticket: decision.Prefill.Ticket, Outcome: OutcomePrefilled, At: noon})
		}
		if decision.Ticket != nil {
			matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeServed, At: noon})
		}
	}
}

// BenchmarkMatcher_SplitBatch measures the assignment of one batch of 16 requests at a disaggregated backend of 90 and of 720
// replicas.
func BenchmarkMatcher_SplitBatch(b *testing.B) {
	for _, replicas := range []int{90, 720} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			matcher, _ := newSplitMatcher(replicas*2/3, replicas/3, 6)
			matcher.useLatestSnapshot()
			number := 0
			for b.Loop() {
				requests := make([]*Request, 16)
				for row := range requests {
					number++
					requests[row] = splitRequest(number, 5000, 2000)
					requests[row].Decided = make(chan Decision, 1)
				}
				serveBatch(matcher, requests)
			}
		})
	}
}

// Queueing that makes requests late for their target refuses none of them as long as they can end in their time.
func TestMatcher_QueueingRefusesNobodyBeforeTheDeadline(t *testing.T) {
	matcher, snapshot := newSplitMatcher(4, 4, 1)
	for index := range 4 {
		snapshot.PeerLoads[fmt.Sprintf("p-%d", index)] = peer.ReplicaLoad{Running: 30, PrefillTokens: 60000}
	}
	for number := range 60 {
		request := splitRequest(number, 2000, 1000)
		request.Deadline = noon.Add(30 * time.Second)
		matcher.Enqueue(request)
		assert.Equal(t, len(request.Decided), 1, "request %d", number)
		assert.Assert(t, (<-request.Decided).Error == nil, "request %d", number)
	}
	late := splitRequest(500, 2000, 1000)
	late.Deadline = noon.Add(time.Second)
	matcher.Enqueue(late)
	assert.Equal(t, matcher.WaitingCount(), 1, "prefills of seconds are ahead of it")
}

// A prefill step may take until only the rest of the work fits the remaining time.
func TestMatcher_PrefillMayTakeWhatTheRestLeaves(t *testing.T) {
	for _, test := range []struct {
		remaining, answer, target time.Duration
	}{
		{4 * time.Second, 0, 500 * time.Millisecond},
		{4 * time.Second, 0, 5 * time.Second},
		{4 * time.Second, time.Second, 500 * time.Millisecond},
		{14 * time.Second, time.Second, 500 * time.Millisecond},
	} {
		matcher, _ := newSplitMatcher(2, 2, 1)
		request := splitRequest(1, 5000, 2000)
		request.Deadline, request.LatencyTarget = noon.Add(test.remaining), test.target
		matcher.setAnswerTime(request, test.answer)
		timeout := decideSplit(t, matcher, request).Prefill.Timeout
		rest := test.answer + fromMs(matcher.decodeMs(request))
		assert.Equal(t, timeout, test.remaining-rest)
	}
}
