package linearizability_test

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
)

const (
	// attemptTimeout is the silence after which an operator goes on to another daemon.
	attemptTimeout = time.Second
	// drainRetryTimeout is how long an evacuation is sent again.
	drainRetryTimeout = 6 * time.Second
	// changeTimeout is how long a daemon works on a call, as in internal/controlplane.
	changeTimeout        = 2500 * time.Millisecond
	initialBackoff       = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
	configurationTimeout = 60 * time.Second
)

// errNoAnswer says that the members, of which a majority was there again, did not answer. It is
// a fault of liveness; all other failures are of safety.
var errNoAnswer = errors.New("no clear answer in time")

// errCallerGone says that nobody was there any more to come back with a token.
var errCallerGone = errors.New("the caller left before it had its token")

// send carries out one call of an operator: the very same copy goes to one daemon after the
// other until an answer is clear.
func (s *simulation) sendCall(call operatorCall) {
	condition := s.knownRevision(call.operator)
	if call.kind == callPatch && condition == 0 {
		call.kind = callPut
	}
	started, backoff := s.now(), initialBackoff
	timeout := configurationTimeout
	if call.kind == callDrain {
		timeout = drainRetryTimeout
	}
	combined := callRecord{call: call, condition: condition, result: unknown, started: started, ended: started}
	var last callRecord
	for attempt := 0; s.now() < started+timeout; attempt++ {
		names := s.fleet.MemberNames()
		copied := call
		if attempt > 0 {
			copied.delay = 0
		}
		last = s.attempt(copied, condition, names[(call.daemon+attempt)%len(names)])
		combined.ended = last.ended
		if last.result != unknown && attempt >= call.lostReplies {
			combined = s.combineAttempts(combined, last)
			break
		}
		combined.earlierAttempts = append(combined.earlierAttempts, last.started)
		time.Sleep(backoff + time.Duration(call.number)*time.Microsecond)
		backoff = min(2*backoff, maxBackoff)
	}
	s.record(combined)
	if combined.result == unknown && call.kind != callDrain {
		s.fail(errors.Wrapf(errNoAnswer, "%s, last: %s", combined, last.note))
	}
	if combined.result == rejected {
		s.readRevision(call)
	}
}

// conclude joins the copies: an acknowledged configuration took force at some time since its
// first copy was sent; all else speaks of the time of the copy that was answered.
func (s *simulation) combineAttempts(combined, last callRecord) callRecord {
	last.call, last.earlierAttempts = combined.call, combined.earlierAttempts
	if last.result == acknowledged && (last.call.kind == callPut || last.call.kind == callPatch) {
		last.started = combined.started
		s.learnRevision(last.call.operator, last.condition+1)
		s.acknowledgements.configuration(last.condition+1, last.ended)
	}
	if last.result == acknowledged && last.call.kind == callGet {
		s.learnRevision(last.call.operator, last.readRevision)
	}
	if last.result == acknowledged && last.call.kind == callDrain {
		s.acknowledgements.zone(last.call.zone, last.zoneNumber, last.ended)
	}
	return last
}

// refresh reads what is in force after a refusal.
func (s *simulation) readRevision(call operatorCall) {
	names := s.fleet.MemberNames()
	read := s.attempt(operatorCall{
		number:   call.number,
		operator: call.operator,
		kind:     callGet,
	}, 0, names[call.daemon%len(names)])
	if read.result == acknowledged {
		s.learnRevision(call.operator, read.readRevision)
		s.record(read)
	}
}

func (s *simulation) knownRevision(operator int) int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.knownRevisions[operator]
}

func (s *simulation) learnRevision(operator int, revision int64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.knownRevisions[operator] = max(s.knownRevisions[operator], revision)
}

// attempt sends one copy to one daemon and waits for its answer as long as an operator does.
func (s *simulation) attempt(call operatorCall, condition int64, daemon string) callRecord {
	record := callRecord{call: call, condition: condition, result: unknown, started: s.now()}
	answers := make(chan callRecord, 1)
	go func() { answers <- s.handleCall(record, daemon) }()
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		record = answer
	case <-timer.C:
		record.note = "no answer of " + daemon
	}
	record.ended = s.now()
	return record
}

// serve is what a daemon does with a copy. A frozen daemon takes it up when it thaws.
func (s *simulation) handleCall(result callRecord, daemon string) callRecord {
	s.waitWhileFrozen(daemon)
	store := s.fleet.StoreOf(daemon)
	if store == nil {
		return result
	}
	ctx, cancel := withTimeout(changeTimeout)
	defer cancel()
	state := s.controlState(store, daemon)
	var err error
	switch result.call.kind {
	case callPut:
		body := document(result.condition+1, valueOf(result.call), valueOf(result.call))
		_, err = state.Replace(ctx, result.condition, http.MethodPut, body)
	case callPatch:
		_, err = state.Patch(ctx, result.condition, http.MethodPatch, patch(result.condition+1, valueOf(result.call)))
	case callGet:
		result.readRevision, result.readContent, err = readConfiguration(ctx, state)
	case callDrain:
		result.zoneNumber, err = s.drain(ctx, state, result, daemon)
	case callReadZone:
		result.readDrained, err = readZone(ctx, state, result.call.zone)
	}
	s.waitWhileFrozen(daemon)
	result.result = resultOf(err)
	result.note = daemon
	if err != nil {
		result.note += ": " + err.Error()
	}
	return result
}

// drain begins no later than CallPatience after the daemon gave the caller its token, for which
// the caller must still have been there; late is how long the copy lay about with the token.
func (s *simulation) drain(ctx context.Context, state *controlstate.State, sent callRecord, daemon string) (uint64, error) {
	call := sent.call
	if s.now() >= sent.started+attemptTimeout && !s.variant.ignoresTokenExpiry {
		return 0, errCallerGone
	}
	before := state.Clock().Add(adminapi.CallerTimeout)
	time.Sleep(call.delay)
	s.waitWhileFrozen(daemon)
	if s.variant.ignoresTokenExpiry {
		before = state.Clock().Add(changeTimeout)
	}
	if call.delay > 0 {
		var cancel context.CancelFunc
		ctx, cancel = withTimeout(changeTimeout)
		defer cancel()
	}
	change, err := state.DrainZone(ctx, call.zone, call.drained, before)
	if err != nil {
		return 0, err
	}
	record, err := controlstate.DecodeZone(change.Register)
	return record.Version, err
}

func resultOf(err error) callResult {
	if err == nil {
		return acknowledged
	}
	if apierror.From(err).Kind.Status() < http.StatusInternalServerError {
		return rejected
	}
	return unknown
}
