package integration

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

// usualEventInterval is the time between two events of a stream.
const usualEventInterval = 20 * time.Millisecond

// execution is one request that a stand-in has run.
type execution struct {
	attempt   string
	lastEvent string
	path      string
	at        time.Time
	header    http.Header
}

// standInReplica is a replica with the HTTP interface of a real one: requests, reports, orders and health checks.
type standInReplica struct {
	lock             sync.Mutex
	listed           discovery.Replica
	models           standin.ModelSet
	executions       []execution
	orders           []receivedOrder
	orderState       orderState
	breakStreamAfter int
	full             bool
	events           int
	eventInterval    time.Duration
	loadTime         time.Duration
	diskLoadTime     time.Duration // of a model that is on the disk; 0 for loadTime
	overCapacity     bool
	firstTokenDelay  time.Duration
	failureMode      string
	failEvery        int
	healthChecks     int
	warmingUntil     time.Time
	healthy          bool

	// modelsOnDisk are the models that were loaded before; storeLoads the start times of loads from the model store.
	modelsOnDisk map[string]bool
	storeLoads   []time.Time
	// split, if set, is the split backend that the stand-in belongs to.
	split *splitBackend
}

func (s *standInReplica) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	s.healthChecks++
	healthy := s.healthy
	s.lock.Unlock()
	writer.Header().Set(replica.HeaderReplicaID, s.listed.ID)
	if !healthy {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func newStandInReplica(id, host, zone string, models ...string) *standInReplica {
	standIn := &standInReplica{
		models: standin.NewModelSet(models...), events: 5, eventInterval: usualEventInterval, loadTime: 2 * time.Second,
		orderState: newOrderState(),
	}
	standIn.listed = discovery.Replica{
		ID:       id,
		Backend:  backendName,
		Address:  host + ":8080",
		Zone:     zone,
		Revision: "v1",
		Slots:    8,
		State:    "ready",
	}
	return standIn
}

func (s *standInReplica) setDraining(draining bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.listed.State = "ready"
	if draining {
		s.listed.State = "draining"
	}
}

func (s *standInReplica) setWarmingUntil(until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.warmingUntil = until
}

func (s *standInReplica) listEntry() discovery.Replica {
	s.lock.Lock()
	defer s.lock.Unlock()
	listed := s.listed
	listed.Models = s.models.List()
	listed.WarmUpRemainingMs = max(listed.WarmUpRemainingMs, float64(time.Until(s.warmingUntil).Milliseconds()))
	return listed
}

func (s *standInReplica) executed() []execution {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]execution(nil), s.executions...)
}

func (s *standInReplica) receivedOrders() []receivedOrder {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]receivedOrder(nil), s.orders...)
}

func (s *standInReplica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get(replica.HeaderTargetReplica); target != s.listed.ID {
		writer.Header().Set(replica.HeaderReplicaID, s.listed.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handlers := map[string]http.HandlerFunc{
		"/ferryspar/report": s.handleReport,
		"/ferryspar/order":  s.handleOrder,
		"/healthz":          s.handleHealth,
	}
	if handle, known := handlers[request.URL.Path]; known {
		handle(writer, request)
		return
	}
	if s.split != nil && !s.split.admit(s, writer, request) {
		return
	}
	s.handleRequest(writer, request)
}

// countStoreLoad records a load of a model that is not on the disk, and reports whether it is one. The caller holds the lock.
func (s *standInReplica) countStoreLoad(model string) (fromStore bool) {
	if s.modelsOnDisk == nil {
		s.modelsOnDisk = map[string]bool{}
	}
	fromStore = !s.modelsOnDisk[model] && !s.models[model]
	if fromStore {
		s.storeLoads = append(s.storeLoads, time.Now())
	}
	s.modelsOnDisk[model] = true
	return fromStore
}

func (s *standInReplica) handleRequest(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(replica.HeaderAttemptID)
	writer.Header().Set(replica.HeaderAttemptID, attempt)
	s.lock.Lock()
	if s.full {
		s.lock.Unlock()
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.models[request.Header.Get(replica.HeaderModel)] {
		s.lock.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := 0
	_, _ = fmt.Sscanf(request.Header.Get(replica.HeaderLastEventID), "%d", &from)
	s.executions = append(s.executions, execution{
		attempt:   attempt,
		lastEvent: request.Header.Get(replica.HeaderLastEventID),
		path:      request.RequestURI,
		at:        time.Now(),
		header:    request.Header.Clone(),
	})
	breakAfter, events, firstTokenDelay := s.breakStreamAfter, s.events, s.firstTokenDelay
	fail := failureModes[s.failureMode]
	failing := fail != nil && len(s.executions)%max(s.failEvery, 1) == 0
	s.lock.Unlock()
	if failing {
		fail(writer, request)
		return
	}
	writer.Header().Set(replica.HeaderSeal, "seal-"+s.listed.ID)
	writer.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstTokenDelay)
	for number := from + 1; number <= events; number++ {
		time.Sleep(s.interval())
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
		if breakAfter > 0 && number == breakAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

// setAnswers sets the number of events of the next streams, and the interval between all events from now on.
func (s *standInReplica) setAnswers(events int, interval time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.events, s.eventInterval = events, interval
}

// setPace sets the time to the first event of the next streams, and the interval between all events from now on.
func (s *standInReplica) setPace(firstEvent, interval time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.firstTokenDelay, s.eventInterval = firstEvent, interval
}

func (s *standInReplica) interval() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.eventInterval
}

func (s *standInReplica) executedSince(from time.Time) int {
	amount := 0
	for _, run := range s.executed() {
		if run.at.After(from) {
			amount++
		}
	}
	return amount
}
