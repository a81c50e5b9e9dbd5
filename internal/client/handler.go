// Package client is the side of a data plane that clients see: it reads their requests, has a replica chosen for each,
// passes the answer on, and refuses what can't be served.
package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/match"
	"ferryspar/internal/record"
	"ferryspar/internal/replica"
)

// Handler serves clients: it takes a request, has a replica chosen for it, forwards it and passes the answer on.
type Handler struct {
	fleet     *atomic.Pointer[match.Snapshot]
	matcher   *match.Matcher
	forwarder *replica.Forwarder
	budgets   *Budgets
	clock     func() time.Time
	draw      func() float64
	leaving   atomic.Bool
	inside    atomic.Int64

	// Recorder, if set before the first request, writes down how each request went.
	Recorder *record.Writer
	// Currency, if set before the first request, tells how new the configuration is. Without it, it counts as the newest.
	Currency Currency
	// Quota, if set before the first request, may turn away requests of tenants beyond their limit.
	Quota Quota
	// Refusals counts what was answered with an error of this data plane's own.
	Refusals Refusals
}

// NewHandler returns a handler that reads the fleet as it stands at each request. draw gives numbers from 0 to 1 for
// the split of traffic over services.
func NewHandler(
	fleet *atomic.Pointer[match.Snapshot], matcher *match.Matcher, forwarder *replica.Forwarder, budgets *Budgets,
	clock func() time.Time, draw func() float64,
) *Handler {
	return &Handler{fleet: fleet, matcher: matcher, forwarder: forwarder, budgets: budgets, clock: clock, draw: draw}
}

// Leave asks clients from now on to close their connections.
func (d *Handler) Leave() { d.leaving.Store(true) }

// Leaving tells whether Leave was called.
func (d *Handler) Leaving() bool { return d.leaving.Load() }

// Inside is the number of requests being served.
func (d *Handler) Inside() int64 { return d.inside.Load() }

// ServeHTTP serves one request of a client.
func (d *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := d.clock()
	markHandled(request.Context())
	d.inside.Add(1)
	defer d.inside.Add(-1)
	if d.Leaving() {
		writer.Header().Set("Connection", "close")
	}
	taken, err := d.take(request, arrived)
	if err == nil {
		err = d.withinQuota(request.Context(), taken)
	}
	if err != nil {
		d.Refusals.count(apierror.From(err).Kind)
		if apierror.From(err).Kind == apierror.BodyTooLarge {
			writer.Header().Set("Connection", "close")
		}
		apierror.Write(writer, err)
		return
	}
	d.budgets.Of(taken.request.Backend).Arrived(arrived)
	ctx, cancel := context.WithDeadline(request.Context(), taken.request.Deadline)
	defer cancel()
	_ = http.NewResponseController(writer).SetWriteDeadline(taken.request.Deadline.Add(writeSlack))
	serving := &service{handler: d, parsedRequest: taken, writer: writer, ctx: ctx}
	defer serving.explain()
	serving.run()
}

// writeSlack is how long past its deadline an answer may be written to a client that doesn't read.
const writeSlack = 150 * time.Millisecond

type service struct {
	handler       *Handler
	parsedRequest *parsedRequest
	writer        http.ResponseWriter
	ctx           context.Context
	headed        bool
	sent          int
	reached       int
	ran           bool
	absent        bool
	events        replica.Events
	chosen        string
	sentAt        time.Time
	firstAt       time.Time
	lastAt        time.Time
	pause         time.Duration
	failure       *apierror.Error
}

var outcomes = map[replica.Verdict]match.Outcome{
	replica.VerdictFull:      match.OutcomeFull,
	replica.VerdictMissing:   match.OutcomeModelMissing,
	replica.VerdictGone:      match.OutcomeShuttingDown,
	replica.VerdictUnreached: match.OutcomeUnreachable,
	replica.VerdictUnknown:   match.OutcomeTruncated,
	replica.VerdictReset:     match.OutcomeConnectionReset,
}

const unreachedBound = 4

func (s *service) run() {
	for {
		request := s.parsedRequest.request
		request.ExcludedReplicas, request.Resumed = s.parsedRequest.request.ExcludedReplicas, s.headed
		command := s.handler.matcher.Submit(s.ctx, &request)
		if command.Error != nil {
			s.fail(command.Error)
			return
		}
		if refusal := s.readmit(); refusal != nil {
			s.handler.matcher.Report(command.Ticket, match.OutcomeCancelled)
			s.fail(refusal)
			return
		}
		if s.sent > 0 && !s.handler.budgets.Of(request.Backend).Take(s.handler.clock(), s.handler.fleet.Load().DataPlanes) {
			s.handler.matcher.Report(command.Ticket, match.OutcomeCancelled)
			s.fail(apierror.NewRetryable(apierror.NotExecuted, 100*time.Millisecond))
			return
		}
		again, failure := s.attempt(command)
		if !again {
			if failure != nil {
				s.fail(failure)
			}
			return
		}
		s.exclude(command.Replica.ID)
	}
}

func (s *service) attempt(command match.Decision) (bool, *apierror.Error) {
	report := func(outcome match.Outcome) { s.handler.matcher.Report(command.Ticket, outcome) }
	job := s.parsedRequest.job
	s.chosen, s.sentAt = command.Replica.ID, s.handler.clock()
	if s.headed {
		job.LastEvent = s.events.LastID
	}
	answer, verdict := s.handler.forwarder.Send(s.ctx, command.Replica.Address, command.Replica.ID, job)
	if verdict == replica.VerdictUnreached {
		s.reached++
	} else {
		s.sent++
	}
	s.absent = verdict == replica.VerdictMissing || verdict == replica.VerdictGone
	if verdict != replica.VerdictAnswered {
		if s.ctx.Err() != nil {
			report(match.OutcomeCancelled)
			return false, s.outOfTime(replica.NeverRan[verdict])
		}
		report(outcomes[verdict])
		s.ran = s.ran || !replica.NeverRan[verdict]
		return s.decide(replica.NeverRan[verdict])
	}
	return s.relay(answer, report)
}

// outOfTime is the answer at the deadline: a promise where nothing has run, and none where something may have.
func (s *service) outOfTime(neverRan bool) *apierror.Error {
	if neverRan && !s.ran {
		return apierror.NewRetryable(apierror.NotExecuted, 50*time.Millisecond)
	}
	return apierror.New(apierror.ReplicaTimeout, "")
}

func (s *service) decide(neverRan bool) (bool, *apierror.Error) {
	if !neverRan && !s.parsedRequest.route.IsIdempotent() {
		return false, apierror.New(apierror.ReplicaFailed, "")
	}
	if s.mayGoOn() {
		return true, nil
	}
	if neverRan && !s.ran {
		return false, apierror.NewRetryable(apierror.NotExecuted, 50*time.Millisecond)
	}
	return false, apierror.New(apierror.ReplicaFailed, "")
}

func (s *service) exclude(id string) {
	request, fleet := &s.parsedRequest.request, s.handler.fleet.Load()
	request.ExcludedReplicas[id] = true
	for _, one := range fleet.Replicas {
		if one.Serves(request) && !request.ExcludedReplicas[one.ID] && !fleet.DrainedZones[one.Zone] {
			return
		}
	}
	if !s.absent {
		delete(request.ExcludedReplicas, id)
	}
}

func (s *service) mayGoOn() bool {
	return s.sent < max(s.parsedRequest.route.RetryCount, 1) && s.reached < unreachedBound
}

func (s *service) fail(failure *apierror.Error) {
	s.failure = failure
	if s.headed {
		panic(http.ErrAbortHandler)
	}
	if s.ran && failure.Kind.GuaranteesNotExecuted() {
		failure = apierror.New(apierror.ReplicaFailed, "")
	}
	s.handler.Refusals.count(failure.Kind)
	apierror.Write(s.writer, failure)
}
