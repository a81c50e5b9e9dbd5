package simulation

import (
	"maps"
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/replicastate"
)

const (
	serverCapacity        = 100.0
	serverAdapterCapacity = 2
	maxReportLag          = 400 * time.Millisecond
	adapterLoadTime       = 20 * time.Millisecond
	// listLag is how far the platform's list lags behind; listRetention is how long it still shows a replica that has ended.
	listLag       = 100 * time.Millisecond
	listRetention = 1500 * time.Millisecond
)

// sentOrder is an order on the wire, with the data that the invariants need.
type sentOrder struct {
	replicastate.Order
	target          string
	withoutSequence bool // has no expected sequence number
	holder          string
	decidedFence    uint64    // fence under which it was decided
	grantedAt       time.Time // start of the grant under which it was sent
	delayed         bool      // delayed by the network or a frozen server
	late            bool      // arrived after its call had ended
}

// snapshot is the state of a server from the time at on, until the next snapshot.
type snapshot struct {
	at     time.Time
	report replicastate.Report
}

// acceptedOrder records when a server accepted an order and under which fence.
type acceptedOrder struct {
	at    time.Time
	fence uint64
}

// server is a simulated replica: a process at an address. A restart clears what is loaded, the sequence number and the
// highest fencing token.
type server struct {
	cluster      *cluster
	id           string
	formerID     string // previous id
	idChangedAt  time.Time
	down         bool
	frozenUntil  time.Time // until then the process is suspended; requests wait in its socket buffers
	waiting      []func()
	incarnation  int
	loaded       map[string]bool
	disk         map[string]bool
	sequence     int64
	highestFence uint64
	busy         *replicastate.Change
	history      []snapshot
	accepted     []acceptedOrder
	lastOrder    *sentOrder // last order that arrived
	lastOrderAt  time.Time
}

func newServer(cluster *cluster, id string, loaded ...string) *server {
	created := &server{cluster: cluster, id: id, loaded: map[string]bool{}, disk: map[string]bool{}}
	for _, reference := range loaded {
		created.loaded[reference], created.disk[reference] = true, true
	}
	created.recordSnapshot()
	return created
}

// recordSnapshot adds the current state to the history that reports are taken from.
func (s *server) recordSnapshot() {
	report := replicastate.Report{Sequence: s.sequence, Busy: s.busy != nil, Loaded: maps.Clone(s.loaded)}
	s.history = append(s.history, snapshot{s.cluster.now, report})
}

// reportWithLag returns the server's state as it was lag ago, or when its process started if that is later.
func (s *server) reportWithLag(lag time.Duration) replicastate.Report {
	shown := s.history[0].report
	for _, snapshot := range s.history {
		if !snapshot.at.After(s.cluster.now.Add(-lag)) {
			shown = snapshot.report
		}
	}
	shown.Loaded = maps.Clone(shown.Loaded)
	return shown
}

// handleOrder processes an order and returns the status of the response.
func (s *server) handleOrder(order sentOrder) int {
	if order.target != s.id {
		return http.StatusMisdirectedRequest
	}
	s.cluster.checkArrival(s, order)
	status := s.decide(order)
	s.cluster.recordResponse(order, status)
	s.lastOrder, s.lastOrderAt = &order, s.cluster.now
	s.cluster.log("%s: %s %+v expected %d fence %d late %t: %d (sequence %d, loaded %v)",
		s.id, order.holder, order.Change, order.ExpectedSequence, order.Fence, order.late, status, s.sequence, s.loaded)
	if status == http.StatusAccepted {
		s.cluster.checkAccepted(s, order)
		s.carryOut(order)
	}
	return status
}

func (s *server) decide(order sentOrder) int {
	base, _, adapted := strings.Cut(order.Reference, "/")
	switch {
	case s.cluster.fencing && order.Fence < s.highestFence:
		return http.StatusPreconditionFailed
	case s.loaded[order.Reference] == order.Load && s.busy == nil:
		return http.StatusOK
	case s.busy != nil || !order.withoutSequence && order.ExpectedSequence != s.sequence:
		return http.StatusConflict
	case adapted && order.Load && !s.loaded[base]:
		return http.StatusBadRequest
	}
	s.highestFence = max(s.highestFence, order.Fence)
	return http.StatusAccepted
}

func (s *server) carryOut(order sentOrder) {
	s.sequence++
	s.accepted = append(s.accepted, acceptedOrder{s.cluster.now, order.Fence})
	s.busy = &order.Change
	s.recordSnapshot()
	incarnation := s.incarnation
	s.cluster.after(s.durationOf(order.Change), func() {
		if s.incarnation == incarnation {
			s.whenRunning(func() { s.finish(order.Change) })
		}
	})
}

func (s *server) durationOf(change replicastate.Change) time.Duration {
	switch {
	case !change.Load:
		return s.cluster.randomDuration(30*time.Millisecond, 600*time.Millisecond)
	case strings.Contains(change.Reference, "/"):
		return adapterLoadTime
	case s.disk[change.Reference]:
		return s.cluster.randomDuration(100*time.Millisecond, 400*time.Millisecond)
	}
	return s.cluster.randomDuration(300*time.Millisecond, 2*time.Second)
}

func (s *server) finish(change replicastate.Change) {
	s.busy = nil
	if change.Load {
		s.loaded[change.Reference], s.disk[change.Reference] = true, true
	} else {
		removeReference(s.loaded, change.Reference)
	}
	s.recordSnapshot()
}

// removeReference removes an adapter, or a model with its adapters, from a set.
func removeReference(loaded map[string]bool, reference string) {
	for candidate := range loaded {
		if candidate == reference || strings.HasPrefix(candidate, reference+"/") {
			delete(loaded, candidate)
		}
	}
}

// freeze suspends the server's process. Requests that arrive meanwhile are processed when it resumes, even if the sender has
// reset the connection: the kernel delivers received data before it reports the reset.
func (s *server) freeze(duration time.Duration) {
	until := s.cluster.now.Add(duration)
	if s.down || !until.After(s.frozenUntil) {
		return
	}
	s.frozenUntil = until
	s.cluster.after(duration, func() {
		if s.cluster.now.Before(s.frozenUntil) {
			return
		}
		waiting := s.waiting
		s.waiting = nil
		for _, read := range waiting {
			s.cluster.after(s.cluster.randomDuration(0, connectionRefusedDelay), read)
		}
	})
}

// whenRunning runs a function now, or when the process resumes. If the process ends before, the function is dropped.
func (s *server) whenRunning(run func()) {
	if !s.cluster.now.Before(s.frozenUntil) {
		run()
		return
	}
	incarnation := s.incarnation
	s.waiting = append(s.waiting, func() {
		if s.incarnation == incarnation {
			run()
		}
	})
}

// restart ends the server's process and starts another one under the given id after the downtime.
func (s *server) restart(id string, downtime time.Duration) {
	s.incarnation++
	s.down, s.frozenUntil, s.waiting = true, time.Time{}, nil
	if id != s.id {
		s.formerID, s.idChangedAt = s.id, s.cluster.now
		s.id = id
	}
	s.cluster.after(downtime, func() {
		s.down, s.busy, s.sequence, s.highestFence = false, nil, 0, 0
		s.loaded, s.history, s.accepted = map[string]bool{}, nil, nil
		s.recordSnapshot()
	})
}

// listed returns the id and the loaded references that the platform's list shows.
func (s *server) listed() (string, map[string]bool) {
	id := s.id
	if s.formerID != "" && s.cluster.now.Sub(s.idChangedAt) < listRetention {
		id = s.formerID
	}
	return id, s.reportWithLag(listLag).Loaded
}
