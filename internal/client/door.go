package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"ferryspar/internal/match"
	"ferryspar/internal/problem"
	"ferryspar/internal/record"
	"ferryspar/internal/replica"

	"github.com/sirupsen/logrus"
)

type Door struct {
	fleet     *atomic.Pointer[match.Fleet]
	matcher   *match.Matcher
	forwarder *replica.Forwarder
	budget    *Budget
	clock     func() time.Time
	draw      func() float64
	leaving   atomic.Bool
	Recorder  *record.Writer
	inside    atomic.Int64
}

func NewDoor(fleet *atomic.Pointer[match.Fleet], matcher *match.Matcher, forwarder *replica.Forwarder, budget *Budget, clock func() time.Time, draw func() float64) *Door {
	return &Door{fleet: fleet, matcher: matcher, forwarder: forwarder, budget: budget, clock: clock, draw: draw}
}

func (d *Door) Leave()        { d.leaving.Store(true) }
func (d *Door) Leaving() bool { return d.leaving.Load() }
func (d *Door) Inside() int64 { return d.inside.Load() }

func (d *Door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := d.clock()
	markHandled(request.Context())
	d.inside.Add(1)
	defer d.inside.Add(-1)
	if d.Leaving() {
		writer.Header().Set("Connection", "close")
	}
	taken, err := d.take(request, arrived)
	if err != nil {
		if problem.Of(err).Kind == problem.LargeBody {
			writer.Header().Set("Connection", "close")
		}
		problem.Write(writer, err)
		return
	}
	d.budget.Arrived(arrived)
	ctx, cancel := context.WithDeadline(request.Context(), taken.order.Deadline)
	defer cancel()
	serving := &service{door: d, intake: taken, writer: writer, ctx: ctx}
	defer serving.explain()
	serving.run()
}

type service struct {
	door    *Door
	intake  *intake
	writer  http.ResponseWriter
	ctx     context.Context
	headed  bool
	sent    int
	reached int
	ran     bool
	absent  bool
	events  replica.Events
	chosen  string
	sentAt  time.Time
	firstAt time.Time
	lastAt  time.Time
	pause   time.Duration
	failure *problem.Problem
}

func (s *service) reason() string {
	if s.failure == nil {
		return ""
	}
	return s.failure.Error()
}

func (s *service) record() {
	writer := s.door.Recorder
	if writer == nil {
		return
	}
	order := s.intake.order
	entry := record.Entry{
		Kind: record.KindOrder, AtMs: writer.Milliseconds(order.Arrived), Attempt: order.Attempt, Route: s.intake.route.Name, Backend: order.Backend,
		Model: order.Model, Prefix: s.intake.job.Header.Get(replica.HeaderPrefix), Prompt: order.Prompt, Output: order.Output,
		LeftMs: float64(order.Deadline.Sub(order.Arrived).Milliseconds()), Problem: s.reason(),
	}
	if !s.firstAt.IsZero() {
		entry.WaitedMs = float64(s.sentAt.Sub(order.Arrived).Milliseconds())
		entry.FirstMs, entry.TookMs = float64(s.firstAt.Sub(order.Arrived).Milliseconds()), float64(s.lastAt.Sub(order.Arrived).Milliseconds())
	}
	writer.Put(entry)
}

func (s *service) explain() {
	s.record()
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	arrived := s.intake.order.Arrived
	logrus.WithFields(logrus.Fields{
		"attempt": s.intake.order.Attempt, "route": s.intake.route.Name, "model": s.intake.order.Model, "replica": s.chosen, "tries": s.sent,
		"prompt": s.intake.order.Prompt, "waited_ms": s.sentAt.Sub(arrived).Milliseconds(), "first_ms": s.firstAt.Sub(arrived).Milliseconds(),
		"took_ms": s.lastAt.Sub(arrived).Milliseconds(), "pause_ms": s.pause.Milliseconds(), "problem": s.reason(),
	}).Debug("request ended")
}

var outcomes = map[replica.Verdict]match.Outcome{
	replica.VerdictFull:      match.OutcomeFull,
	replica.VerdictMissing:   match.OutcomeMissing,
	replica.VerdictGone:      match.OutcomeGone,
	replica.VerdictUnreached: match.OutcomeUnreached,
	replica.VerdictUnknown:   match.OutcomeBroken,
	replica.VerdictReset:     match.OutcomeReset,
}

const unreachedBound = 4

func (s *service) run() {
	for {
		order := s.intake.order
		order.Excluded, order.Resumed = s.intake.order.Excluded, s.headed
		command := s.door.matcher.Submit(s.ctx, &order)
		if command.Problem != nil {
			s.fail(command.Problem)
			return
		}
		if s.sent > 0 && !s.door.budget.Take(s.door.clock(), s.door.fleet.Load().Edges) {
			s.door.matcher.Report(command.Ticket, match.OutcomeCancelled)
			s.fail(problem.Later(problem.NotExecuted, 100*time.Millisecond))
			return
		}
		again, failure := s.dispatch(command)
		if !again {
			if failure != nil {
				s.fail(failure)
			}
			return
		}
		s.exclude(command.Replica.ID)
	}
}

func (s *service) dispatch(command match.Command) (bool, *problem.Problem) {
	report := func(outcome match.Outcome) { s.door.matcher.Report(command.Ticket, outcome) }
	job := s.intake.job
	s.chosen, s.sentAt = command.Replica.ID, s.door.clock()
	if s.headed {
		job.LastEvent = s.events.LastID
	}
	answer, verdict := s.door.forwarder.Send(s.ctx, command.Replica.Address, command.Replica.ID, job)
	if verdict == replica.VerdictUnreached {
		s.reached++
	} else {
		s.sent++
	}
	s.absent = verdict == replica.VerdictMissing || verdict == replica.VerdictGone
	if verdict != replica.VerdictAnswered {
		if s.ctx.Err() != nil {
			report(match.OutcomeCancelled)
			return false, problem.New(problem.ReplicaSilent, "")
		}
		report(outcomes[verdict])
		s.ran = s.ran || !replica.NeverRan[verdict]
		return s.decide(replica.NeverRan[verdict])
	}
	return s.relay(answer, report)
}

func (s *service) decide(neverRan bool) (bool, *problem.Problem) {
	if !neverRan && !s.intake.route.Repeatable() {
		return false, problem.New(problem.ReplicaFailed, "")
	}
	if s.mayGoOn() {
		return true, nil
	}
	if neverRan && !s.ran {
		return false, problem.Later(problem.NotExecuted, 50*time.Millisecond)
	}
	return false, problem.New(problem.ReplicaFailed, "")
}

func (s *service) exclude(id string) {
	order, fleet := &s.intake.order, s.door.fleet.Load()
	order.Excluded[id] = true
	for _, one := range fleet.Replicas {
		if one.Serves(order) && !order.Excluded[one.ID] && !fleet.Drained[one.Area] {
			return
		}
	}
	if !s.absent {
		delete(order.Excluded, id)
	}
}

func (s *service) mayGoOn() bool {
	return s.sent < max(s.intake.route.RetryCount, 1) && s.reached < unreachedBound
}

func (s *service) fail(failure *problem.Problem) {
	s.failure = failure
	if s.headed {
		panic(http.ErrAbortHandler)
	}
	if s.ran && failure.Kind.Status() == http.StatusServiceUnavailable {
		failure = problem.New(problem.ReplicaFailed, "")
	}
	problem.Write(s.writer, failure)
}
