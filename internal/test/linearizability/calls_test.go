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
	// attemptTimeout is how long an operator waits for a reply before it tries another node.
	attemptTimeout = time.Second
	// drainRetryTimeout is how long an operator retries the drain of a zone.
	drainRetryTimeout = 6 * time.Second
	// configurationTimeout is how long an operator retries any other call.
	configurationTimeout = 60 * time.Second
	// changeTimeout is the time limit of a node for a call, as in internal/controlplane.
	changeTimeout = 2500 * time.Millisecond
	// initialBackoff and maxBackoff are the first and the longest pause between the attempts of one call.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// errNoAnswer means that a call got no definite reply although a majority of the members was available again. It is a
// liveness failure; all others are safety failures.
var errNoAnswer = errors.New("no definite reply before the timeout")

// errCallerGone means that the caller stopped waiting before the node issued its token.
var errCallerGone = errors.New("caller timed out before it received its token")

// sendCall performs one call of an operator: it sends the same request to one node after the other until it gets a definite
// reply.
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
		names := s.cluster.MemberNames()
		copied := call
		if attempt > 0 {
			copied.delay = 0
		}
		last = s.attempt(copied, condition, names[(call.node+attempt)%len(names)])
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

// combineAttempts combines all attempts into one record. An acknowledged configuration took effect at some time since its
// first attempt; all other results refer to the attempt that got the reply.
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
		s.acknowledgements.zone(last.call.zone, last.zoneVersion, last.ended)
	}
	return last
}

// readRevision reads the current revision after a rejection.
func (s *simulation) readRevision(call operatorCall) {
	names := s.cluster.MemberNames()
	read := s.attempt(operatorCall{
		number:   call.number,
		operator: call.operator,
		kind:     callGet,
	}, 0, names[call.node%len(names)])
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

// attempt sends a call to one node and waits for its reply for at most attemptTimeout.
func (s *simulation) attempt(call operatorCall, condition int64, node string) callRecord {
	record := callRecord{call: call, condition: condition, result: unknown, started: s.now()}
	replies := make(chan callRecord, 1)
	go func() { replies <- s.handleCall(record, node) }()
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		record = reply
	case <-timer.C:
		record.note = "no reply from " + node
	}
	record.ended = s.now()
	return record
}

// handleCall processes a call at a node. While the node is frozen, the call waits.
func (s *simulation) handleCall(result callRecord, node string) callRecord {
	s.waitWhileFrozen(node)
	store := s.cluster.StoreOf(node)
	if store == nil {
		return result
	}
	ctx, cancel := withTimeout(changeTimeout)
	defer cancel()
	state := s.controlState(store, node)
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
		result.zoneVersion, err = s.drain(ctx, state, result, node)
	case callReadZone:
		result.readDrained, err = readZone(ctx, state, result.call.zone)
	}
	s.waitWhileFrozen(node)
	result.result = resultOf(err)
	result.note = node
	if err != nil {
		result.note += ": " + err.Error()
	}
	return result
}

// drain performs the drain of a zone with a token that the node issued to the caller while it was still waiting. The drain
// must start within adminapi.TokenLifetime of the token; the delay of the call is the time before it is sent with the token.
func (s *simulation) drain(
	ctx context.Context, state *controlstate.State, sent callRecord, node string,
) (zoneVersion uint64, err error) {
	call := sent.call
	if s.now() >= sent.started+attemptTimeout && !s.variant.ignoresTokenExpiry {
		return 0, errCallerGone
	}
	before := state.Clock().Add(adminapi.TokenLifetime)
	time.Sleep(call.delay)
	s.waitWhileFrozen(node)
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

// resultOf returns the result that an operator concludes from a reply.
func resultOf(err error) callResult {
	if err == nil {
		return acknowledged
	}
	if apierror.From(err).Kind.Status() < http.StatusInternalServerError {
		return rejected
	}
	return unknown
}
