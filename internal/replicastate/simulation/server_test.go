package simulation

import (
	"maps"
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/replicastate"
)

const (
	serverRoom      = 100.0
	serverPlaces    = 2
	longestLag      = 400 * time.Millisecond
	adapterLoadTime = 20 * time.Millisecond
	// listLag is how far the platform's list lags, and listedAfterEnd how long it shows a replica that is gone.
	listLag        = 100 * time.Millisecond
	listedAfterEnd = 1500 * time.Millisecond
)

// instruction is an order on the wire, with what the rules need to judge it by.
type instruction struct {
	replicastate.Order
	target   string
	unbound  bool // names no sequence
	holder   string
	decided  uint64    // fence under which it was decided
	since    time.Time // of the grant under which it was sent
	released bool      // held up by a cut and released
	late     bool      // released after its call had ended
}

// moment is what a server was like from a time on.
type moment struct {
	at     time.Time
	report replicastate.Report
}

// accepted is an order that a server has taken.
type accepted struct {
	at    time.Time
	fence uint64
}

// server is a simulated replica: a process at an address. A restart empties it and forgets sequence and fences.
type server struct {
	world    *world
	id       string
	former   string // id before the last change of it
	changed  time.Time
	down     bool
	frozen   time.Time // until then it does nothing; what comes waits in its sockets
	waiting  []func()
	life     int
	held     map[string]bool
	disk     map[string]bool
	sequence int64
	highest  uint64
	busy     *replicastate.Change
	history  []moment
	taken    []accepted
	last     *instruction // last order that arrived
	lastAt   time.Time
}

func newServer(world *world, id string, held ...string) *server {
	one := &server{world: world, id: id, held: map[string]bool{}, disk: map[string]bool{}}
	for _, reference := range held {
		one.held[reference], one.disk[reference] = true, true
	}
	one.note()
	return one
}

// note adds the present to what reports may show.
func (s *server) note() {
	report := replicastate.Report{Sequence: s.sequence, Busy: s.busy != nil, Held: maps.Clone(s.held)}
	s.history = append(s.history, moment{s.world.now, report})
}

// reportOf is what the server was like some time ago, or when its process began if that is later.
func (s *server) reportOf(lag time.Duration) replicastate.Report {
	shown := s.history[0].report
	for _, one := range s.history {
		if !one.at.After(s.world.now.Add(-lag)) {
			shown = one.report
		}
	}
	shown.Held = maps.Clone(shown.Held)
	return shown
}

// take answers an order.
func (s *server) take(order instruction) int {
	if order.target != s.id {
		return http.StatusMisdirectedRequest
	}
	s.world.judge(s, order)
	status := s.decide(order)
	s.world.count(order, status)
	s.last, s.lastAt = &order, s.world.now
	s.world.log("%s: %s %+v expected %d fence %d late %t: %d (sequence %d, held %v)",
		s.id, order.holder, order.Change, order.Expected, order.Fence, order.late, status, s.sequence, s.held)
	if status == http.StatusAccepted {
		s.world.judgeAccepted(s, order)
		s.begin(order)
	}
	return status
}

func (s *server) decide(order instruction) int {
	base, _, adapted := strings.Cut(order.Reference, "/")
	switch {
	case s.world.fencing && order.Fence < s.highest:
		return http.StatusPreconditionFailed
	case s.held[order.Reference] == order.Load && s.busy == nil:
		return http.StatusOK
	case s.busy != nil || !order.unbound && order.Expected != s.sequence:
		return http.StatusConflict
	case adapted && order.Load && !s.held[base]:
		return http.StatusBadRequest
	}
	s.highest = max(s.highest, order.Fence)
	return http.StatusAccepted
}

func (s *server) begin(order instruction) {
	s.sequence++
	s.taken = append(s.taken, accepted{s.world.now, order.Fence})
	s.busy = &order.Change
	s.note()
	life := s.life
	s.world.after(s.timeFor(order.Change), func() {
		if s.life == life {
			s.whenAwake(func() { s.finish(order.Change) })
		}
	})
}

func (s *server) timeFor(change replicastate.Change) time.Duration {
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
		s.held[change.Reference], s.disk[change.Reference] = true, true
	} else {
		drop(s.held, change.Reference)
	}
	s.note()
}

// drop takes a model with its adapters, or an adapter, out of a set.
func drop(held map[string]bool, reference string) {
	for one := range held {
		if one == reference || strings.HasPrefix(one, reference+"/") {
			delete(held, one)
		}
	}
}

// freeze stops the server's process for a while. What reaches it meanwhile waits, also once its sender has reset the
// connection: a kernel hands over what it has received before it tells of the reset.
func (s *server) freeze(pause time.Duration) {
	until := s.world.now.Add(pause)
	if s.down || !until.After(s.frozen) {
		return
	}
	s.frozen = until
	s.world.after(pause, func() {
		if s.world.now.Before(s.frozen) {
			return
		}
		waiting := s.waiting
		s.waiting = nil
		for _, read := range waiting {
			s.world.after(s.world.between(0, fastRefusal), read)
		}
	})
}

// whenAwake does something now, or when the process goes on; not if it ends before.
func (s *server) whenAwake(run func()) {
	if !s.world.now.Before(s.frozen) {
		run()
		return
	}
	life := s.life
	s.waiting = append(s.waiting, func() {
		if s.life == life {
			run()
		}
	})
}

// restart ends the server's process and starts another after a while, under the same id or another.
func (s *server) restart(id string, pause time.Duration) {
	s.life++
	s.down, s.frozen, s.waiting = true, time.Time{}, nil
	if id != s.id {
		s.former, s.changed = s.id, s.world.now
		s.id = id
	}
	s.world.after(pause, func() {
		s.down, s.busy, s.sequence, s.highest = false, nil, 0, 0
		s.held, s.history, s.taken = map[string]bool{}, nil, nil
		s.note()
	})
}

// listed is the id and the models that the platform's list shows.
func (s *server) listed() (string, map[string]bool) {
	id := s.id
	if s.former != "" && s.world.now.Sub(s.changed) < listedAfterEnd {
		id = s.former
	}
	return id, s.reportOf(listLag).Held
}
