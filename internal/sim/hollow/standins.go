package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

// StandIns serves the replicas and the platform list of a fleet over HTTP.
type StandIns struct {
	plan         Plan
	replicas     []*standIn
	byHost       map[string]*standIn
	servers      []*http.Server
	pages        atomic.Int64
	instructions atomic.Int64
	reports      atomic.Int64
	served       atomic.Int64
}

// NewStandIns makes the replicas, each with its first models loaded; Open serves them.
func NewStandIns(plan Plan) *StandIns {
	world := &StandIns{plan: plan, byHost: map[string]*standIn{}}
	for index := range plan.Replicas {
		host := plan.replicaHost(index)
		server := &standIn{loaded: standin.NewModelSet()}
		server.listed = discovery.Replica{
			ID:       fmt.Sprintf("i-%08x", index+1),
			Backend:  serviceName,
			Address:  plan.at(host, replicaPort),
			Zone:     plan.zoneOf(host),
			Revision: "v1",
			Slots:    plan.Slots,
			State:    "ready",
			Phase:    "unified",
		}
		for place := range min(plan.ModelsPerReplica, plan.Models) {
			server.loaded[modelName((index*plan.ModelsPerReplica+place)%plan.Models)] = true
		}
		world.replicas = append(world.replicas, server)
		world.byHost[host] = server
	}
	return world
}

// Open listens on every address.
func (s *StandIns) Open() error {
	open := func(address string, handler http.Handler) error {
		listener, err := peer.HostNetwork{}.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(listener) }()
		return nil
	}
	if err := open(s.plan.listAddress(), http.HandlerFunc(s.serveList)); err != nil {
		return err
	}
	for _, listening := range s.replicas {
		if err := open(listening.listed.Address, http.HandlerFunc(s.serveReplica)); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all listeners and connections.
func (s *StandIns) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// pageSize is the length of a page of the list.
const pageSize = 50

// serveList answers a page of the list.
func (s *StandIns) serveList(writer http.ResponseWriter, request *http.Request) {
	s.pages.Add(1)
	from, _ := strconv.Atoi(request.URL.Query().Get("pageToken"))
	to := min(from+pageSize, len(s.replicas))
	page := discovery.Page{Instances: []discovery.Replica{}}
	for _, server := range s.replicas[min(from, to):to] {
		if listed, shown := server.entry(); shown {
			page.Instances = append(page.Instances, listed)
		}
	}
	if to < len(s.replicas) {
		token := strconv.Itoa(to)
		page.NextToken = &token
	}
	_ = json.NewEncoder(writer).Encode(page)
}

// setLost ends the replicas of the chosen hosts or starts them again, empty and under a new id, and
// counts them.
func (s *StandIns) setLost(chosen func(host string) bool, lost bool) (count int) {
	for host, server := range s.byHost {
		if !chosen(host) {
			continue
		}
		count++
		server.lock.Lock()
		server.lostAt = time.Time{}
		if lost {
			server.lostAt = time.Now()
		} else {
			server.incarnation++
			server.listed.ID = fmt.Sprintf("%s-%d", server.listed.ID, server.incarnation)
			server.loaded = standin.NewModelSet()
			server.sequence = 0
			server.highestFence = 0
			server.busyUntil = time.Time{}
		}
		server.lock.Unlock()
	}
	return count
}

// serveReplica answers for the replica of the address that was asked; one that has ended breaks the
// connection.
func (s *StandIns) serveReplica(writer http.ResponseWriter, request *http.Request) {
	host, _, _ := net.SplitHostPort(request.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	server := s.byHost[host]
	identity, lives := server.identity()
	if !lives {
		panic(http.ErrAbortHandler)
	}
	if request.Header.Get(replica.HeaderTargetReplica) != identity {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handlers := map[string]func(*standIn, http.ResponseWriter, *http.Request){
		replica.ReportEndpoint.Path: s.serveReport,
		replica.OrderEndpoint.Path:  s.serveInstruction,
	}
	if handle, known := handlers[request.URL.Path]; known {
		handle(server, writer, request)
		return
	}
	s.serveStream(server, writer, request)
}

// serveReport answers with the replica's state.
func (s *StandIns) serveReport(server *standIn, writer http.ResponseWriter, _ *http.Request) {
	s.reports.Add(1)
	server.lock.Lock()
	state := replica.Report{
		Phase:          "unified",
		Models:         server.loaded.List(),
		Busy:           time.Now().Before(server.busyUntil),
		Sequence:       server.sequence,
		ActiveRequests: int(server.active.Load()),
		KVTokensTotal:  114820,
	}
	server.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(state)
}

const (
	// modelLoadTime is how long a load or unload of a model takes.
	modelLoadTime = 1500 * time.Millisecond
	// adapterLoadTime is how long a load or unload of an adapter takes.
	adapterLoadTime = 10 * time.Millisecond
)

// serveInstruction answers a load or unload instruction.
func (s *StandIns) serveInstruction(server *standIn, writer http.ResponseWriter, request *http.Request) {
	s.instructions.Add(1)
	var instruction replica.Order
	if json.NewDecoder(request.Body).Decode(&instruction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	if instruction.Fence < server.highestFence {
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	server.highestFence = instruction.Fence
	if time.Now().Before(server.busyUntil) || instruction.ExpectedSequence != server.sequence {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	takes := adapterLoadTime
	if instruction.Adapter == "" {
		takes = modelLoadTime
	}
	server.sequence++
	incarnation := server.incarnation
	server.busyUntil = time.Now().Add(takes)
	time.AfterFunc(takes, func() {
		server.lock.Lock()
		defer server.lock.Unlock()
		if server.incarnation == incarnation && server.lostAt.IsZero() {
			server.applyInstruction(instruction)
		}
	})
	writer.WriteHeader(http.StatusAccepted)
}

// serveStream answers a request with a stream of the plan's length.
func (s *StandIns) serveStream(server *standIn, writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(replica.HeaderAttemptID, request.Header.Get(replica.HeaderAttemptID))
	if !server.hasLoaded(request.Header.Get(replica.HeaderModel)) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if server.active.Add(1); server.active.Load() > int64(s.plan.Slots) {
		server.active.Add(-1)
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer server.active.Add(-1)
	s.served.Add(1)
	identity, _ := server.identity()
	writer.Header().Set(replica.HeaderSeal, "seal-"+identity)
	writer.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(request.Header.Get(replica.HeaderLastEventID))
	gap := s.plan.StreamLength / time.Duration(s.plan.Events)
	for number := from + 1; number <= s.plan.Events; number++ {
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(gap):
		}
		if now, lives := server.identity(); !lives || now != identity {
			panic(http.ErrAbortHandler)
		}
	}
}
