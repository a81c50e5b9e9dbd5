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
		one := &standIn{held: standin.NewHoldings()}
		one.listed = discovery.Replica{
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
			one.held[modelName((index*plan.ModelsPerReplica+place)%plan.Models)] = true
		}
		world.replicas = append(world.replicas, one)
		world.byHost[host] = one
	}
	return world
}

// Open listens on every address.
func (w *StandIns) Open() error {
	open := func(address string, handler http.Handler) error {
		listener, err := peer.HostNetwork{}.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		w.servers = append(w.servers, server)
		go func() { _ = server.Serve(listener) }()
		return nil
	}
	if err := open(w.plan.listAddress(), http.HandlerFunc(w.serveList)); err != nil {
		return err
	}
	for _, one := range w.replicas {
		if err := open(one.listed.Address, http.HandlerFunc(w.serveReplica)); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all listeners and connections.
func (w *StandIns) Close() {
	for _, server := range w.servers {
		_ = server.Close()
	}
}

// pageSize is the length of a page of the list.
const pageSize = 50

// serveList answers a page of the list.
func (w *StandIns) serveList(writer http.ResponseWriter, request *http.Request) {
	w.pages.Add(1)
	from, _ := strconv.Atoi(request.URL.Query().Get("pageToken"))
	to := min(from+pageSize, len(w.replicas))
	page := discovery.Page{Instances: []discovery.Replica{}}
	for _, one := range w.replicas[min(from, to):to] {
		if listed, shown := one.entry(); shown {
			page.Instances = append(page.Instances, listed)
		}
	}
	if to < len(w.replicas) {
		token := strconv.Itoa(to)
		page.NextToken = &token
	}
	_ = json.NewEncoder(writer).Encode(page)
}

// setLost ends the replicas of the chosen hosts or starts them again, empty and under a new id, and
// counts them.
func (w *StandIns) setLost(chosen func(host string) bool, lost bool) (count int) {
	for host, one := range w.byHost {
		if !chosen(host) {
			continue
		}
		count++
		one.lock.Lock()
		one.lostAt = time.Time{}
		if lost {
			one.lostAt = time.Now()
		} else {
			one.life++
			one.listed.ID = fmt.Sprintf("%s-%d", one.listed.ID, one.life)
			one.held = standin.NewHoldings()
			one.sequence = 0
			one.highestFence = 0
			one.busyUntil = time.Time{}
		}
		one.lock.Unlock()
	}
	return count
}

// serveReplica answers for the replica of the address that was asked; one that has ended breaks the
// connection.
func (w *StandIns) serveReplica(writer http.ResponseWriter, request *http.Request) {
	host, _, _ := net.SplitHostPort(request.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	one := w.byHost[host]
	identity, lives := one.identity()
	if !lives {
		panic(http.ErrAbortHandler)
	}
	if request.Header.Get(replica.HeaderTarget) != identity {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handlers := map[string]func(*standIn, http.ResponseWriter, *http.Request){
		replica.ReportEndpoint.Path: w.serveReport,
		replica.OrderEndpoint.Path:  w.serveInstruction,
	}
	if handle, known := handlers[request.URL.Path]; known {
		handle(one, writer, request)
		return
	}
	w.serveStream(one, writer, request)
}

// serveReport answers with the replica's state.
func (w *StandIns) serveReport(one *standIn, writer http.ResponseWriter, _ *http.Request) {
	w.reports.Add(1)
	one.lock.Lock()
	state := replica.Report{
		Phase:    "unified",
		Models:   one.held.List(),
		Busy:     time.Now().Before(one.busyUntil),
		Sequence: one.sequence,
		Active:   int(one.active.Load()),
		KvTotal:  114820,
	}
	one.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(state)
}

const (
	// loadTakes is how long a load or unload of a model takes.
	loadTakes = 1500 * time.Millisecond
	// adapterTakes is how long a load or unload of an adapter takes.
	adapterTakes = 10 * time.Millisecond
)

// serveInstruction answers a load or unload instruction.
func (w *StandIns) serveInstruction(one *standIn, writer http.ResponseWriter, request *http.Request) {
	w.instructions.Add(1)
	var instruction replica.Order
	if json.NewDecoder(request.Body).Decode(&instruction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	one.lock.Lock()
	defer one.lock.Unlock()
	if instruction.Fence < one.highestFence {
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	one.highestFence = instruction.Fence
	if time.Now().Before(one.busyUntil) || instruction.ExpectedCount != one.sequence {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	takes := adapterTakes
	if instruction.Adapter == "" {
		takes = loadTakes
	}
	one.sequence++
	life := one.life
	one.busyUntil = time.Now().Add(takes)
	time.AfterFunc(takes, func() {
		one.lock.Lock()
		defer one.lock.Unlock()
		if one.life == life && one.lostAt.IsZero() {
			one.applyInstruction(instruction)
		}
	})
	writer.WriteHeader(http.StatusAccepted)
}

// serveStream answers a request with a stream of the plan's length.
func (w *StandIns) serveStream(one *standIn, writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(replica.HeaderAttempt, request.Header.Get(replica.HeaderAttempt))
	if !one.holds(request.Header.Get(replica.HeaderModel)) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if one.active.Add(1); one.active.Load() > int64(w.plan.Slots) {
		one.active.Add(-1)
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer one.active.Add(-1)
	w.served.Add(1)
	identity, _ := one.identity()
	writer.Header().Set(replica.HeaderSeal, "seal-"+identity)
	writer.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(request.Header.Get(replica.HeaderLastEventID))
	gap := w.plan.StreamLength / time.Duration(w.plan.Events)
	for number := from + 1; number <= w.plan.Events; number++ {
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(gap):
		}
		if now, lives := one.identity(); !lives || now != identity {
			panic(http.ErrAbortHandler)
		}
	}
}
