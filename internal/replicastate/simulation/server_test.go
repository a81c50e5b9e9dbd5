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
	// listLag is how far the platform's list lags, and listedAfterEnd how long it shows a replica that is gone.
	listLag        = 100 * time.Millisecond
	listedAfterEnd = 1500 * time.Millisecond
)

// sentOrder is an order on the wire, with what the invariants need to check it by.
type sentOrder struct {
	replicastate.Order
	target          string
	withoutSequence bool // names no sequence
	holder          string
	decidedFence    uint64    // fence under which it was decided
	grantedAt       time.Time // of the grant under which it was sent
	delayed         bool      // held up by the network
	late            bool      // arrived after its call had ended
}

// moment is what a server was like from a time on.
type moment struct {
	at     time.Time
	report replicastate.Report
}

// acceptedOrder is an order that a server has accepted.
type acceptedOrder struct {
	at    time.Time
	fence uint64
}

// server is a simulated replica: a process at an address. A restart empties it and forgets sequence and fences.
type server struct {
	world        *world
	id           string
	formerID     string // id before the last change of it
	idChangedAt  time.Time
	down         bool
	frozenUntil  time.Time // until then it does nothing; what comes waits in its sockets
	waiting      []func()
	incarnation  int
	loaded       map[string]bool
	disk         map[string]bool
	sequence     int64
	highestFence uint64
	busy         *replicastate.Change
	history      []moment
	accepted     []acceptedOrder
	lastOrder    *sentOrder // last order that arrived
	lastOrderAt  time.Time
}

func newServer(world *world, id string, loaded ...string) *server {
	created := &server{world: world, id: id, loaded: map[string]bool{}, disk: map[string]bool{}}
	for _, reference := range loaded {
		created.loaded[reference], created.disk[reference] = true, true
	}
	created.recordMoment()
	return created
}

// recordMoment adds the present to what reports may show.
func (s *server) recordMoment() {
	report := replicastate.Report{Sequence: s.sequence, Busy: s.busy != nil, Loaded: maps.Clone(s.loaded)}
	s.history = append(s.history, moment{s.world.now, report})
}

// reportOf is what the server was like some time ago, or when its process began if that is later.
func (s *server) reportOf(lag time.Duration) replicastate.Report {
	shown := s.history[0].report
	for _, moment := range s.history {
		if !moment.at.After(s.world.now.Add(-lag)) {
			shown = moment.report
		}
	}
	shown.Loaded = maps.Clone(shown.Loaded)
	return shown
}

// handleOrder returns the status of the response to an order.
func (s *server) handleOrder(order sentOrder) int {
	if order.target != s.id {
		return http.StatusMisdirectedRequest
	}
	s.world.checkArrival(s, order)
	status := s.decide(order)
	s.world.recordResponse(order, status)
	s.lastOrder, s.lastOrderAt = &order, s.world.now
	s.world.log("%s: %s %+v expected %d fence %d late %t: %d (sequence %d, loaded %v)",
		s.id, order.holder, order.Change, order.ExpectedSequence, order.Fence, order.late, status, s.sequence, s.loaded)
	if status == http.StatusAccepted {
		s.world.checkAccepted(s, order)
		s.carryOut(order)
	}
	return status
}

func (s *server) decide(order sentOrder) int {
	base, _, adapted := strings.Cut(order.Reference, "/")
	switch {
	case s.world.fencing && order.Fence < s.highestFence:
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
	s.accepted = append(s.accepted, acceptedOrder{s.world.now, order.Fence})
	s.busy = &order.Change
	s.recordMoment()
	incarnation := s.incarnation
	s.world.after(s.durationOf(order.Change), func() {
		if s.incarnation == incarnation {
			s.whenAwake(func() { s.finish(order.Change) })
		}
	})
}

func (s *server) durationOf(change replicastate.Change) time.Duration {
	switch {
	case !change.Load:
		return s.world.between(30*time.Millisecond, 600*time.Millisecond)
	case strings.Contains(change.Reference, "/"):
		return adapterLoadTime
	case s.disk[change.Reference]:
		return s.world.between(100*time.Millisecond, 400*time.Millisecond)
	}
	return s.world.between(300*time.Millisecond, 2*time.Second)
}

func (s *server) finish(change replicastate.Change) {
	s.busy = nil
	if change.Load {
		s.loaded[change.Reference], s.disk[change.Reference] = true, true
	} else {
		removeReference(s.loaded, change.Reference)
	}
	s.recordMoment()
}

// removeReference takes a model with its adapters, or an adapter, out of a set.
func removeReference(loaded map[string]bool, reference string) {
	for candidate := range loaded {
		if candidate == reference || strings.HasPrefix(candidate, reference+"/") {
			delete(loaded, candidate)
		}
	}
}

// freeze stops the server's process for a while. What reaches it meanwhile waits, also once its sender has reset the
// connection: a kernel hands over what it has received before it tells of the reset.
func (s *server) freeze(duration time.Duration) {
	until := s.world.now.Add(duration)
	if s.down || !until.After(s.frozenUntil) {
		return
	}
	s.frozenUntil = until
	s.world.after(duration, func() {
		if s.world.now.Before(s.frozenUntil) {
			return
		}
		waiting := s.waiting
		s.waiting = nil
		for _, read := range waiting {
			s.world.after(s.world.between(0, connectionRefusedDelay), read)
		}
	})
}

// whenAwake does something now, or when the process goes on; not if it ends before.
func (s *server) whenAwake(run func()) {
	if !s.world.now.Before(s.frozenUntil) {
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

// restart ends the server's process and starts another after a while, under the same id or another.
func (s *server) restart(id string, downtime time.Duration) {
	s.incarnation++
	s.down, s.frozenUntil, s.waiting = true, time.Time{}, nil
	if id != s.id {
		s.formerID, s.idChangedAt = s.id, s.world.now
		s.id = id
	}
	s.world.after(downtime, func() {
		s.down, s.busy, s.sequence, s.highestFence = false, nil, 0, 0
		s.loaded, s.history, s.accepted = map[string]bool{}, nil, nil
		s.recordMoment()
	})
}

// listed is the id and the models that the platform's list shows.
func (s *server) listed() (string, map[string]bool) {
	id := s.id
	if s.formerID != "" && s.world.now.Sub(s.idChangedAt) < listedAfterEnd {
		id = s.formerID
	}
	return id, s.reportOf(listLag).Loaded
}
