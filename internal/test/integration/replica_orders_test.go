package integration

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

const (
	// adapterPlaces is the adapterCapacity of the document.
	adapterPlaces = 4
	// keptMoments bounds what a stand-in remembers of its past for late reports.
	keptMoments = 16
)

// receivedOrder is an instruction as it came. Expected is nil where the sender named no sequence.
type receivedOrder struct {
	replica.Order
	Expected *int64 `json:"expectedCount"`
	at       time.Time
	status   int
}

func (o receivedOrder) reference() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

func (o receivedOrder) load() bool { return o.Operation == replica.OperationLoad }

// orderBehaviour is how a stand-in carries out orders, and what it tells of that. The stand-in's lock guards it.
type orderBehaviour struct {
	places      int           // of adapters
	adapterTime time.Duration // to load or unload an adapter
	reportLag   time.Duration // how old the moment is that reports show
	loseAnswers int           // how many of the next accepted orders get no answer
	sequence    int64
	highest     uint64
	busyUntil   time.Time
	life        int
	past        []reportedMoment
	// refusedOverfull holds the loads beyond room that were refused for their sequence or another order.
	refusedOverfull []receivedOrder
}

// reportedMoment is what a stand-in would have reported from a time on.
type reportedMoment struct {
	at    time.Time
	state replica.Report
}

func ordinaryOrders() orderBehaviour {
	return orderBehaviour{places: adapterPlaces, adapterTime: 10 * time.Millisecond}
}

// note remembers what reports show from now on. The caller holds the lock.
func (s *standInReplica) recordMoment() {
	state := replica.Report{Phase: "unified", Models: s.models.List(), Busy: s.busy(), Sequence: s.holding.sequence}
	s.holding.past = append(s.holding.past, reportedMoment{time.Now(), state})
	if extra := len(s.holding.past) - keptMoments; extra > 0 {
		s.holding.past = s.holding.past[extra:]
	}
}

func (s *standInReplica) busy() bool { return time.Now().Before(s.holding.busyUntil) }

func (s *standInReplica) report(writer http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	state := replica.Report{Phase: "unified", Models: s.models.List(), Busy: s.busy(), Sequence: s.holding.sequence}
	if s.holding.reportLag > 0 {
		state = s.shownState(state)
	}
	s.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(state)
}

// shownState is the state some time ago, or the oldest that is remembered; the caller holds the lock.
func (s *standInReplica) shownState(present replica.Report) replica.Report {
	if len(s.holding.past) == 0 {
		return present
	}
	shown := s.holding.past[0].state
	for _, moment := range s.holding.past {
		if !moment.at.After(time.Now().Add(-s.holding.reportLag)) {
			shown = moment.state
		}
	}
	return shown
}

func (s *standInReplica) order(writer http.ResponseWriter, request *http.Request) {
	instruction := receivedOrder{at: time.Now()}
	_ = json.NewDecoder(request.Body).Decode(&instruction)
	s.lock.Lock()
	instruction.status = s.accept(instruction)
	s.orders = append(s.orders, instruction)
	lost := instruction.status == http.StatusAccepted && s.holding.loseAnswers > 0
	if lost {
		s.holding.loseAnswers--
	}
	s.lock.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(instruction.status)
}

// take decides on an order and begins it if it is accepted; the caller holds the lock.
func (s *standInReplica) accept(instruction receivedOrder) int {
	if instruction.Fence < s.holding.highest {
		return http.StatusPreconditionFailed
	}
	s.holding.highest = instruction.Fence
	beyond := instruction.load() && !s.hasCapacity(instruction)
	if s.busy() || instruction.Expected != nil && *instruction.Expected != s.holding.sequence {
		if beyond {
			s.holding.refusedOverfull = append(s.holding.refusedOverfull, instruction)
		}
		return http.StatusConflict
	}
	if s.models[instruction.reference()] == instruction.load() {
		return http.StatusOK
	}
	s.overfull = s.overfull || beyond
	if instruction.load() && instruction.Adapter == "" {
		s.countStoreLoad(instruction.Model)
	}
	s.begin(instruction)
	return http.StatusAccepted
}

// hasCapacity tells whether a load has room and a place beside what is held; the caller holds the lock.
func (s *standInReplica) hasCapacity(instruction receivedOrder) bool {
	held := maps.Clone(s.models)
	held[instruction.reference()] = true
	models, adapters := 0, 0
	for reference := range held {
		if strings.Contains(reference, "/") {
			adapters++
		} else {
			models++
		}
	}
	return models <= slotsPerReplica && adapters <= s.holding.places
}

// begin carries an order out; the caller holds the lock.
func (s *standInReplica) begin(instruction receivedOrder) {
	taking := s.loadTime
	if instruction.Adapter != "" {
		taking = s.holding.adapterTime
	}
	s.recordMoment()
	s.holding.sequence++
	s.holding.busyUntil = time.Now().Add(taking)
	s.recordMoment()
	life := s.holding.life
	time.AfterFunc(taking, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		if s.holding.life != life {
			return
		}
		s.models[instruction.reference()] = true
		if !instruction.load() {
			s.models.Drop(instruction.reference())
		}
		s.recordMoment()
	})
}

// restart has another process serve at the same address: empty, without sequence and fences.
func (s *standInReplica) restart() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.models = standin.NewHoldings()
	s.holding.life++
	s.holding.sequence, s.holding.highest, s.holding.busyUntil, s.holding.past = 0, 0, time.Time{}, nil
	s.recordMoment()
}

// withinCapacity tells whether no accepted load was beyond room or places.
func (s *standInReplica) withinCapacity() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return !s.overfull
}

// count is how many orders the replica has taken.
func (s *standInReplica) count() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.holding.sequence
}
