package routing

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/peer"
)

// waitRound is how often the tests of waits let the matcher try again.
const waitRound = retryInterval

// fullFleet returns a fleet with one model, all of whose slots are taken by other data planes.
func fullFleet() *testFleet {
	return newTestFleet(3, 1, 3, func(int) int { return fixtureSlots })
}

// decideBy lets time pass until a request is decided or a duration is over, and returns the decision, if any, with its time.
func (f *testFleet) decideBy(request *Request, limit time.Duration) (Decision, time.Duration, bool) {
	start := f.now
	for {
		select {
		case decision := <-request.Decided:
			return decision, f.now.Sub(start), true
		default:
		}
		if f.now.Sub(start) >= limit {
			return Decision{}, 0, false
		}
		f.now = f.now.Add(waitRound)
		f.snapshot.Load().PeerLoadsAt = f.now
		f.matcher.Wake()
	}
}

// freeSlot makes one slot of one replica free.
func (f *testFleet) freeSlot() {
	fleet := *f.snapshot.Load()
	fleet.PeerLoads = maps.Clone(fleet.PeerLoads)
	fleet.PeerLoads[fleet.Replicas[0].ID] = peer.ReplicaLoad{Running: fixtureSlots - 1}
	f.snapshot.Store(&fleet)
}

// fleetWithMissingModel returns a fleet in which model-1, whose load takes so long, is loaded nowhere.
func fleetWithMissingModel(loadTimeS float64) *testFleet {
	fixture := newTestFleet(3, 2, 3, func(int) int { return 0 })
	fixture.snapshot.Load().Table.Configuration.Backends[0].Runtime.Models[1].LoadTimeS = loadTimeS
	for _, replica := range fixture.snapshot.Load().Replicas {
		delete(replica.Models, "model-1")
	}
	return fixture
}

// patientRequest returns a request with the remaining time.
func (f *testFleet) patientRequest(remaining time.Duration) *Request {
	request := f.request()
	request.Deadline = f.now.Add(remaining)
	request.LatencyTarget = 600 * time.Millisecond
	return request
}

// setAnswerTime sets the learned duration of the answers to requests like this one.
func (m *Matcher) setAnswerTime(request *Request, duration time.Duration) {
	m.answers[request.modelKey()] = &answerPace{meanMs: inMs(duration) / request.OutputTokens}
}

// answerIn sets the learned duration of the answers to the fixture's requests.
func (f *testFleet) answerIn(duration time.Duration) { f.matcher.setAnswerTime(f.request(), duration) }

// learnFirstEvents makes all replicas learn first events that took so long under load.
func (f *testFleet) learnFirstEvents(latencyMs float64) {
	for _, replica := range f.snapshot.Load().Replicas {
		for range 50 {
			f.matcher.replicas.state(replica.ID).predictor.Observe(
				Features{featureIntercept: 1, featureUncached: 0.8, featureUtilization: 1}, latencyMs)
		}
	}
}

// A slot is free again after 9 s, and the callers have more time than that: all are served, whatever else is said of their routes,
// whichever try it is, and however long first events took under load.
func TestMatcher_ServesWhatCanStillBeServed(t *testing.T) {
	const freeAfter = 9 * time.Second
	for name, change := range map[string]func(request *Request){
		"target 300 ms":   func(request *Request) { request.LatencyTarget = 300 * time.Millisecond },
		"target 600 ms":   func(request *Request) { request.LatencyTarget = 600 * time.Millisecond },
		"target 1,900 ms": func(request *Request) { request.LatencyTarget = 1900 * time.Millisecond },
		"target 2,100 ms": func(request *Request) { request.LatencyTarget = 2100 * time.Millisecond },
		"no target":       func(request *Request) { request.LatencyTarget = 0 },
		"12 s left":       func(request *Request) { request.Deadline = request.Deadline.Add(-3 * time.Second) },
		"30 s left":       func(request *Request) { request.Deadline = request.Deadline.Add(15 * time.Second) },
		"least urgent":    func(request *Request) { request.Priority = 9 },
	} {
		for _, firstEventMs := range []float64{100, 9000} {
			t.Run(fmt.Sprintf("%s, first events of %v ms", name, firstEventMs), func(t *testing.T) {
				fixture := fullFleet()
				fixture.answerIn(time.Second)
				fixture.learnFirstEvents(firstEventMs)
				request := fixture.patientRequest(15 * time.Second)
				change(request)
				fixture.matcher.Enqueue(request)
				_, _, decided := fixture.decideBy(request, freeAfter)
				assert.Assert(t, !decided, "the request waits")
				fixture.freeSlot()
				decision, wait, decided := fixture.decideBy(request, time.Second)
				assert.Assert(t, decided && decision.Error == nil, "%+v", decision.Error)
				assert.Assert(t, wait <= waitRound)
			})
		}
	}
}

// A request is refused when its remaining time is no longer enough for its work: a millisecond more of either moves the refusal by a
// millisecond, up to the interval of tries. One that waits for a load is refused at once if the load takes too long.
func TestMatcher_WaitsAsLongAsTheRemainingTimeAllows(t *testing.T) {
	for _, test := range []struct {
		remaining, answer time.Duration
		promptTokens      float64
		loadTimeS         float64
		refusedAfter      time.Duration // before the time to read the prompt
	}{
		{remaining: 15 * time.Second, answer: time.Second, refusedAfter: 14 * time.Second},
		{remaining: 12 * time.Second, answer: time.Second, refusedAfter: 11 * time.Second},
		{remaining: 5 * time.Second, answer: time.Second, refusedAfter: 4 * time.Second},
		{remaining: 5 * time.Second, answer: 4 * time.Second, refusedAfter: time.Second},
		{remaining: 5 * time.Second, answer: 4 * time.Second, promptTokens: 8000, refusedAfter: time.Second},
		{remaining: 5 * time.Second, refusedAfter: 5 * time.Second},
		{remaining: 15 * time.Second, answer: time.Second, loadTimeS: 5.5, refusedAfter: 14 * time.Second},
		{remaining: 8 * time.Second, answer: time.Second, loadTimeS: 5.5, refusedAfter: 7 * time.Second},
		{remaining: 6 * time.Second, answer: time.Second, loadTimeS: 5.5, refusedAfter: 0},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			fixture, kind := fullFleet(), apierror.Overloaded
			request := fixture.patientRequest(test.remaining)
			if test.loadTimeS > 0 {
				fixture, kind = fleetWithMissingModel(test.loadTimeS), apierror.ModelNotLoaded
				request.Model = "model-1"
			}
			request.PromptTokens += test.promptTokens
			fixture.matcher.setAnswerTime(request, test.answer)
			fixture.matcher.Enqueue(request)
			decision, wait, decided := fixture.decideBy(request, 20*time.Second)
			assert.Assert(t, decided && decision.Error != nil)
			assert.Equal(t, decision.Error.Kind, kind)
			expected := max(test.refusedAfter-fromMs(fixture.matcher.promptMs(request)), 0)
			assert.Assert(t, wait >= expected && wait <= expected+waitRound, "refused after %v, expected %v", wait, expected)
			if expected == 0 {
				assert.Equal(t, decision.Error.RetryAfter, test.remaining/maxRetryAfterDivisor, "the load takes longer than clients wait")
			}
		})
	}
}

// In an overload, the requests that can't get a slot in their time are refused at once, and only those.
func TestMatcher_RefusesAtOnceWhatComesTooLateBehindOthers(t *testing.T) {
	const running, waiting = 3 * fixtureSlots, 200
	fixture := newTestFleet(3, 1, 1, func(int) int { return 0 })
	fixture.answerIn(2 * time.Second)
	for range running {
		fixture.matcher.Enqueue(fixture.patientRequest(15 * time.Second))
	}
	assert.Equal(t, fixture.matcher.WaitingCount(), 0)
	var requests []*Request
	for range waiting {
		request := fixture.patientRequest(6 * time.Second)
		request.Priority = 1
		requests = append(requests, request)
		fixture.matcher.Enqueue(request)
	}
	fixture.matcher.Wake()
	// 36 slots are given back each 2.1 s, so some 65 requests can begin within the 3.9 s until their latest start.
	left := fixture.matcher.WaitingCount()
	assert.Assert(t, left >= 55 && left <= 75, "%d wait", left)
	for number, request := range requests {
		if len(request.Decided) == 0 {
			assert.Assert(t, number < 100, "request %d waits behind refused ones", number)
			continue
		}
		refused := (<-request.Decided).Error
		assert.Equal(t, refused.Kind, apierror.Overloaded)
		assert.Assert(t, refused.RetryAfter <= 2*time.Second, "at most a third of the time left: %v", refused.RetryAfter)
		assert.Assert(t, refused.RetryAfter > time.Second, "a slot is expected after seconds: %v", refused.RetryAfter)
	}
	urgent := fixture.patientRequest(6 * time.Second)
	urgent.Priority = 0
	fixture.matcher.Enqueue(urgent)
	fixture.matcher.Wake()
	assert.Equal(t, len(urgent.Decided), 0, "what ranks before the others is ahead of them")
	assert.Assert(t, fixture.matcher.queue.requests[0] == urgent)
}

func TestMatcher_RetryAfterIsWhenASlotIsExpected(t *testing.T) {
	for _, test := range []struct {
		remaining, answer, expected time.Duration
	}{
		{remaining: 30 * time.Second, answer: 2 * time.Second, expected: 2 * time.Second},
		{remaining: 30 * time.Second, answer: 4 * time.Second, expected: 4 * time.Second},
		{remaining: 3 * time.Second, answer: 4 * time.Second, expected: time.Second},
		{remaining: 30 * time.Second, answer: 0, expected: apierror.MinRetryAfter},
	} {
		fixture := fullFleet()
		fixture.answerIn(test.answer)
		request := fixture.patientRequest(test.remaining)
		request.hostsIn(fixture.matcher.index)
		fixture.matcher.Wake()
		retryAfter := fixture.matcher.retryAfter(request, fixture.now)
		isExpected := retryAfter >= test.expected && retryAfter < test.expected+100*time.Millisecond
		assert.Assert(t, isExpected, "%v, expected %v", retryAfter, test.expected)
	}
}

func TestAnswerPace_StaysNearAllSamples(t *testing.T) {
	pace := &answerPace{meanMs: 20}
	for round := range 200 {
		pace.observe([]float64{10, 30}[round%2])
	}
	likely := pace.meanMs + paceDeviations*pace.deviationMs
	assert.Assert(t, pace.meanMs > 17 && pace.meanMs < 23, "%f", pace.meanMs)
	assert.Assert(t, likely >= 30 && likely < 80, "%f", likely)
}
