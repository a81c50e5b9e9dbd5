package integration

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

type arrival struct {
	attempt   string
	lastEvent string
	path      string
	at        time.Time
	header    http.Header
}

type standInReplica struct {
	lock      sync.Mutex
	listed    discovery.Replica
	models    standin.Holdings
	runs      []arrival
	orders    []receivedOrder
	holding   orderBehaviour
	cutAfter  int
	full      bool
	events    int
	loadTime  time.Duration
	overfull  bool
	slow      time.Duration
	fails     string
	failEvery int
	probed    int
	coldUntil time.Time
	healthy   bool

	// disk are the models that were loaded before, storeLoads the beginnings of loads of others.
	disk       map[string]bool
	storeLoads []time.Time
}

var failings = map[string]func(writer http.ResponseWriter, request *http.Request){
	"errors": func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
	},
	"reset": func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) },
	"hang": func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	},
	"shed": func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	},
}

func (s *standInReplica) setFailing(fails string, every int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fails, s.failEvery = fails, every
}

func (s *standInReplica) health(writer http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	s.probed++
	healthy := s.healthy
	s.lock.Unlock()
	writer.Header().Set(replica.HeaderReplicaID, s.listed.ID)
	if !healthy {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func newStandInReplica(id, host, zone string, models ...string) *standInReplica {
	stand := &standInReplica{models: standin.NewHoldings(models...), events: 5, loadTime: 2 * time.Second, holding: ordinaryOrders()}
	stand.listed = discovery.Replica{
		ID:       id,
		Backend:  serviceName,
		Address:  host + ":8080",
		Zone:     zone,
		Revision: "v1",
		Slots:    8,
		State:    "ready",
	}
	return stand
}

func (s *standInReplica) drain(leaving bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.listed.State = "ready"
	if leaving {
		s.listed.State = "draining"
	}
}

func (s *standInReplica) setWarmingUntil(until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.coldUntil = until
}

func (s *standInReplica) entry() discovery.Replica {
	s.lock.Lock()
	defer s.lock.Unlock()
	listed := s.listed
	listed.Models = s.models.List()
	listed.WarmUpRemainingMs = max(listed.WarmUpRemainingMs, float64(time.Until(s.coldUntil).Milliseconds()))
	return listed
}

func (s *standInReplica) executed() []arrival {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]arrival(nil), s.runs...)
}

func (s *standInReplica) receivedOrders() []receivedOrder {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]receivedOrder(nil), s.orders...)
}

func (s *standInReplica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get(replica.HeaderTarget); target != s.listed.ID {
		writer.Header().Set(replica.HeaderReplicaID, s.listed.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handlers := map[string]http.HandlerFunc{"/ferryspar/report": s.report, "/ferryspar/order": s.order, "/healthz": s.health}
	if handle, known := handlers[request.URL.Path]; known {
		handle(writer, request)
		return
	}
	s.serve(writer, request)
}

// countStoreLoad notes a load of a model that the disk doesn't have. The caller holds the lock.
func (s *standInReplica) countStoreLoad(model string) {
	if s.disk == nil {
		s.disk = map[string]bool{}
	}
	if !s.disk[model] && !s.models[model] {
		s.storeLoads = append(s.storeLoads, time.Now())
	}
	s.disk[model] = true
}

func (s *standInReplica) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(replica.HeaderAttempt)
	writer.Header().Set(replica.HeaderAttempt, attempt)
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
	s.runs = append(s.runs, arrival{
		attempt,
		request.Header.Get(replica.HeaderLastEventID),
		request.RequestURI,
		time.Now(),
		request.Header.Clone(),
	})
	cutAfter, events, slow := s.cutAfter, s.events, s.slow
	fail := failings[s.fails]
	failing := fail != nil && len(s.runs)%max(s.failEvery, 1) == 0
	s.lock.Unlock()
	if failing {
		fail(writer, request)
		return
	}
	writer.Header().Set(replica.HeaderSeal, "seal-"+s.listed.ID)
	writer.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(slow)
	for number := from + 1; number <= events; number++ {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
		if cutAfter > 0 && number == cutAfter {
			panic(http.ErrAbortHandler)
		}
	}
}
