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
	"ferryspar/internal/httpframing"
	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

// StandIns serves stand-ins for the replicas and the platform list of a fleet over HTTP.
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

// NewStandIns returns the replicas of the plan, each with its initial models loaded. Open starts to serve them.
func NewStandIns(plan Plan) *StandIns {
	standIns := &StandIns{plan: plan, byHost: map[string]*standIn{}}
	for index := range plan.Replicas {
		host := plan.replicaHost(index)
		server := &standIn{loaded: standin.NewModelSet()}
		server.listed = discovery.Replica{
			ID:       fmt.Sprintf("i-%08x", index+1),
			Backend:  backendName,
			Address:  plan.address(host, replicaPort),
			Zone:     plan.zoneOf(host),
			Revision: "v1",
			Slots:    plan.Slots,
			State:    "ready",
			Phase:    "unified",
		}
		for offset := range min(plan.ModelsPerReplica, plan.Models) {
			server.loaded[modelName((index*plan.ModelsPerReplica+offset)%plan.Models)] = true
		}
		standIns.replicas = append(standIns.replicas, server)
		standIns.byHost[host] = server
	}
	return standIns
}

// Open listens on all addresses and serves requests in the background.
func (s *StandIns) Open() error {
	open := func(address string, handler http.Handler) error {
		listener, err := peer.HostNetwork{}.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		s.servers = append(s.servers, server)
		go func() { _ = httpframing.Serve(server, listener, httpframing.Options{}) }()
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

// Close closes all listeners and connections.
func (s *StandIns) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// pageSize is the number of replicas per page of the list.
const pageSize = 50

// serveList serves a page of the platform list.
func (s *StandIns) serveList(writer http.ResponseWriter, request *http.Request) {
	s.pages.Add(1)
	from, _ := strconv.Atoi(request.URL.Query().Get("pageToken"))
	to := min(from+pageSize, len(s.replicas))
	page := discovery.Page{Instances: []discovery.Replica{}}
	for _, server := range s.replicas[min(from, to):to] {
		if listed, shown := server.listEntry(); shown {
			page.Instances = append(page.Instances, listed)
		}
	}
	if to < len(s.replicas) {
		token := strconv.Itoa(to)
		page.NextToken = &token
	}
	_ = json.NewEncoder(writer).Encode(page)
}

// setLost stops the replicas of the selected hosts, or restarts them empty and with a new id, and returns their number.
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

// serveReplica serves the requests to the replica at the local address of the connection. If that replica has ended, it
// aborts the connection.
func (s *StandIns) serveReplica(writer http.ResponseWriter, request *http.Request) {
	host, _, _ := net.SplitHostPort(request.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	server := s.byHost[host]
	identity, isRunning := server.identity()
	if !isRunning {
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

// serveReport serves the state of the replica.
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
	// modelLoadTime is the duration of a load or unload of a model.
	modelLoadTime = 1500 * time.Millisecond
	// adapterLoadTime is the duration of a load or unload of an adapter.
	adapterLoadTime = 10 * time.Millisecond
)

// serveInstruction serves a load or unload instruction.
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
	duration := adapterLoadTime
	if instruction.Adapter == "" {
		duration = modelLoadTime
	}
	server.sequence++
	incarnation := server.incarnation
	server.busyUntil = time.Now().Add(duration)
	time.AfterFunc(duration, func() {
		server.lock.Lock()
		defer server.lock.Unlock()
		if server.incarnation == incarnation && server.lostAt.IsZero() {
			server.applyInstruction(instruction)
		}
	})
	writer.WriteHeader(http.StatusAccepted)
}

// serveStream serves a request with a stream of the length set in the plan.
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
		if now, isRunning := server.identity(); !isRunning || now != identity {
			panic(http.ErrAbortHandler)
		}
	}
}
