package integration

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
	"ferryspar/internal/sim/emulator/standin"
)

const (
	// defaultAdapterSlots is the adapterCapacity of the document.
	defaultAdapterSlots = 4
	// maxHistory bounds the reports that a stand-in keeps for reportLag.
	maxHistory = 16
)

// receivedOrder is an order as it was received. Expected is nil if the sender gave no expected sequence number.
type receivedOrder struct {
	replica.Order
	Expected   *int64 `json:"expectedCount"`
	receivedAt time.Time
	status     int
}

func (o receivedOrder) reference() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

func (o receivedOrder) isLoad() bool { return o.Operation == replica.OperationLoad }

// orderState is what a stand-in needs to execute orders and to report on them. The lock of the stand-in guards it.
type orderState struct {
	adapterSlots  int           // how many adapters fit at once
	adapterTime   time.Duration // to load or unload an adapter
	reportLag     time.Duration // the age of the state that reports show
	answersToDrop int           // the number of next accepted orders whose answers are lost
	// orderDelay, if set, returns whether the next order gets no answer, and how long after it the order is then decided.
	orderDelay   func() (delay time.Duration, unanswered bool)
	sequence     int64
	highestFence uint64
	busyUntil    time.Time
	incarnation  int
	history      []pastReport
	// rejectedOverCapacity are loads that exceed the capacity, but were rejected for their sequence number or a running order.
	rejectedOverCapacity []receivedOrder
}

// pastReport is the report of a stand-in from a point in time on.
type pastReport struct {
	at    time.Time
	state replica.Report
}

func newOrderState() orderState {
	return orderState{adapterSlots: defaultAdapterSlots, adapterTime: 10 * time.Millisecond}
}

// recordReport adds the current report to the history. The caller holds the lock.
func (s *standInReplica) recordReport() {
	state := s.report()
	s.orderState.history = append(s.orderState.history, pastReport{time.Now(), state})
	if extra := len(s.orderState.history) - maxHistory; extra > 0 {
		s.orderState.history = s.orderState.history[extra:]
	}
}

// report returns the current report of the stand-in. The caller holds the lock.
func (s *standInReplica) report() replica.Report {
	phase := s.listed.Phase
	if phase == "" {
		phase = discovery.PhaseUnified
	}
	return replica.Report{Phase: phase, Models: s.models.List(), Busy: s.busy(), Sequence: s.orderState.sequence}
}

func (s *standInReplica) busy() bool { return time.Now().Before(s.orderState.busyUntil) }

func (s *standInReplica) handleReport(writer http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	state := s.report()
	if s.orderState.reportLag > 0 {
		state = s.laggedReport(state)
	}
	s.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(state)
}

// laggedReport returns the report of reportLag ago, or the oldest in the history. The caller holds the lock.
func (s *standInReplica) laggedReport(current replica.Report) replica.Report {
	if len(s.orderState.history) == 0 {
		return current
	}
	shown := s.orderState.history[0].state
	for _, past := range s.orderState.history {
		if !past.at.After(time.Now().Add(-s.orderState.reportLag)) {
			shown = past.state
		}
	}
	return shown
}

func (s *standInReplica) handleOrder(writer http.ResponseWriter, request *http.Request) {
	order := receivedOrder{receivedAt: time.Now()}
	_ = json.NewDecoder(request.Body).Decode(&order)
	if s.decideLater(order) {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.lock.Lock()
	order.status = s.decideOrder(order)
	s.orders = append(s.orders, order)
	lost := order.status == http.StatusAccepted && s.orderState.answersToDrop > 0
	if lost {
		s.orderState.answersToDrop--
	}
	s.lock.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(order.status)
}

// decideLater reports whether the order is to get no answer, and decides such an order after its delay.
func (s *standInReplica) decideLater(order receivedOrder) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.orderState.orderDelay == nil {
		return false
	}
	delay, unanswered := s.orderState.orderDelay()
	if !unanswered {
		return false
	}
	incarnation := s.orderState.incarnation
	time.AfterFunc(delay, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		if s.orderState.incarnation == incarnation {
			order.status = s.decideOrder(order)
			s.orders = append(s.orders, order)
		}
	})
	return true
}

// decideOrder accepts or rejects an order and starts it if it is accepted. The caller holds the lock.
func (s *standInReplica) decideOrder(order receivedOrder) int {
	if order.Fence < s.orderState.highestFence {
		return http.StatusPreconditionFailed
	}
	s.orderState.highestFence = order.Fence
	overCapacity := order.isLoad() && !s.hasCapacity(order)
	if s.busy() || order.Expected != nil && *order.Expected != s.orderState.sequence {
		if overCapacity {
			s.orderState.rejectedOverCapacity = append(s.orderState.rejectedOverCapacity, order)
		}
		return http.StatusConflict
	}
	if order.Operation == replica.OperationPhase {
		return s.startPhaseChange(order)
	}
	if s.models[order.reference()] == order.isLoad() {
		return http.StatusOK
	}
	s.overCapacity = s.overCapacity || overCapacity
	fromDisk := order.isLoad() && order.Adapter == "" && !s.countStoreLoad(order.Model)
	s.startOrder(order, fromDisk)
	return http.StatusAccepted
}

// phaseChangeTime is how long a stand-in takes to change its phase.
const phaseChangeTime = 1200 * time.Millisecond

// startPhaseChange starts a change of the phase, unless the replica is in that phase already. The caller holds the lock.
func (s *standInReplica) startPhaseChange(order receivedOrder) int {
	if s.listed.Phase == order.Phase {
		return http.StatusOK
	}
	s.orderState.sequence++
	s.orderState.busyUntil = time.Now().Add(phaseChangeTime)
	incarnation := s.orderState.incarnation
	time.AfterFunc(phaseChangeTime, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		if s.orderState.incarnation == incarnation {
			s.listed.Phase = order.Phase
		}
	})
	return http.StatusAccepted
}

// hasCapacity reports whether a load fits together with what is loaded. The caller holds the lock.
func (s *standInReplica) hasCapacity(order receivedOrder) bool {
	loaded := maps.Clone(s.models)
	loaded[order.reference()] = true
	models, adapters := 0, 0
	for reference := range loaded {
		if strings.Contains(reference, "/") {
			adapters++
		} else {
			models++
		}
	}
	return models <= slotsPerReplica && adapters <= s.orderState.adapterSlots
}

// startOrder executes an accepted order. The caller holds the lock.
func (s *standInReplica) startOrder(order receivedOrder, fromDisk bool) {
	duration := s.loadTime
	if fromDisk && s.diskLoadTime > 0 {
		duration = s.diskLoadTime
	}
	if order.Adapter != "" {
		duration = s.orderState.adapterTime
	}
	s.recordReport()
	s.orderState.sequence++
	s.orderState.busyUntil = time.Now().Add(duration)
	s.recordReport()
	incarnation := s.orderState.incarnation
	time.AfterFunc(duration, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		if s.orderState.incarnation != incarnation {
			return
		}
		s.models[order.reference()] = true
		if !order.isLoad() {
			s.models.Remove(order.reference())
		}
		s.recordReport()
	})
}

// restart replaces the process at the same address: nothing is loaded, and the sequence number and the highest fence are reset.
func (s *standInReplica) restart() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.models = standin.NewModelSet()
	s.orderState.incarnation++
	s.orderState.sequence, s.orderState.highestFence, s.orderState.busyUntil, s.orderState.history = 0, 0, time.Time{}, nil
	s.recordReport()
}

// withinCapacity reports whether every accepted load was within the capacity.
func (s *standInReplica) withinCapacity() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return !s.overCapacity
}

// orderCount returns how many orders the replica has accepted.
func (s *standInReplica) orderCount() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.orderState.sequence
}

func (s *standInReplica) unloads(model string) int {
	amount := 0
	for _, order := range s.receivedOrders() {
		if order.Operation == replica.OperationUnload && order.Model == model && order.Adapter == "" {
			amount++
		}
	}
	return amount
}

// rejectedOverCapacity returns the rejected loads that would have exceeded the capacity.
func (s *standInReplica) rejectedOverCapacity() []receivedOrder {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]receivedOrder(nil), s.orderState.rejectedOverCapacity...)
}

// waitLeaseHolder waits for an order and returns the host of the node that has sent it.
func (s *standInReplica) waitLeaseHolder(t *testing.T) string {
	t.Helper()
	for range 200 {
		if orders := s.receivedOrders(); len(orders) > 0 {
			return strings.TrimPrefix(orders[len(orders)-1].LeaseHolder, "daemon-")
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no order was sent")
	return ""
}
