package routing

// outcomeHandler applies one kind of outcome to the replica's state.
type outcomeHandler func(m *Matcher, state *replicaState, report Report)

var outcomeHandlers = map[Outcome]outcomeHandler{
	OutcomeFirstEvent:      (*Matcher).onFirstEvent,
	OutcomeProgress:        (*Matcher).onActivity,
	OutcomeServed:          (*Matcher).onServed,
	OutcomeTruncated:       (*Matcher).onTruncated,
	OutcomeCancelled:       (*Matcher).onCancelled,
	OutcomeFull:            (*Matcher).onFull,
	OutcomeModelMissing:    (*Matcher).onModelMissing,
	OutcomeShuttingDown:    (*Matcher).onShuttingDown,
	OutcomeUnreachable:     (*Matcher).onUnreachable,
	OutcomeFailed:          (*Matcher).onFailed,
	OutcomeConnectionReset: func(*Matcher, *replicaState, Report) {},
	OutcomeStalled:         (*Matcher).onActivity,
	OutcomePrefilled:       (*Matcher).onPrefilled,
	OutcomeHandleGone:      (*Matcher).onHandleGone,
	OutcomeWithdrawn:       func(*Matcher, *replicaState, Report) {},
}

// isRunningAfter are the outcomes after which the request goes on.
var isRunningAfter = map[Outcome]bool{
	OutcomeFirstEvent: true,
	OutcomeProgress:   true,
	OutcomeStalled:    true,
	OutcomePrefilled:  true,
}

// isNotExecutedAfter are the outcomes after which the replica's cache cannot hold the prompt.
var isNotExecutedAfter = map[Outcome]bool{
	OutcomeFull:         true,
	OutcomeModelMissing: true,
	OutcomeShuttingDown: true,
	OutcomeUnreachable:  true,
	OutcomeHandleGone:   true,
	OutcomeWithdrawn:    true,
}

// handleReport applies a report (the online feedback of IEMAS §4.1). If it ends the request, the requests that
// wait for the replica are retried, unless a batch of new requests is pending anyway.
func (m *Matcher) handleReport(report Report) {
	ticket := report.Ticket
	state := m.replicas.watch(ticket.replica)
	m.recordOutcome(report)
	outcomeHandlers[report.Outcome](m, state, report)
	if isRunningAfter[report.Outcome] {
		return
	}
	m.finishTicket(state, report)
	if isNotExecutedAfter[report.Outcome] {
		m.ledger.RecordMiss(ticket.replica, ticket.request.prompt())
	}
	if m.OnSuspect != nil && state.isSuspected(report.At) {
		m.OnSuspect(ticket.replica)
	}
	if m.queue.len() > 0 && m.queue.unbatched == 0 {
		m.retryForReplica(ticket.replica)
	}
}

func (*Matcher) onActivity(state *replicaState, report Report) { state.recordActivity(report.At) }

func (m *Matcher) onServed(state *replicaState, report Report) {
	state.predictor.RecordOutcome(true)
	m.answers.observe(report.Ticket, report.At)
}

func (*Matcher) onFailed(state *replicaState, _ Report) { state.predictor.RecordOutcome(false) }

func (*Matcher) onFull(state *replicaState, report Report) {
	state.fullUntil = report.At.Add(fullBackoff)
}

func (*Matcher) onModelMissing(state *replicaState, report Report) {
	state.missingUntil[report.Ticket.request.Model] = report.At.Add(modelMissingBackoff)
}

func (*Matcher) onShuttingDown(state *replicaState, _ Report) { state.shuttingDown = true }

func (*Matcher) onUnreachable(state *replicaState, report Report) { state.suspect(report.At) }

// onCancelled suspects a replica that showed no activity before the request was cancelled. A prefill replica shows none until a
// prefill is complete, so only its outcomes are considered.
func (*Matcher) onCancelled(state *replicaState, report Report) {
	if report.Ticket.step == stepPrefill {
		return
	}
	sentAt := report.Ticket.sentAt
	isInactive := report.At.Sub(sentAt) > report.Ticket.suspicionTimeout() && state.lastActivity.Before(sentAt)
	if state.awaitingFirst[report.Ticket] && isInactive {
		state.suspect(report.At)
	}
}

func (*Matcher) onTruncated(state *replicaState, report Report) {
	if request := report.Ticket.request; request.drill != nil {
		request.drill.recordTruncation(request)
	}
	state.predictor.RecordOutcome(false)
	state.suspect(report.At)
}

// onFirstEvent trains the predictor and the model's prefill factor with the measured time to the first event,
// and checks whether the cache was hit (IEMAS §4.1, "Feedback Accounting"). Repeated first events of a ticket
// are ignored.
func (m *Matcher) onFirstEvent(state *replicaState, report Report) {
	ticket := report.Ticket
	if ticket.firstEventSeen {
		return
	}
	ticket.firstEventSeen = true
	ticket.firstEventAt = report.At
	state.recordActivity(report.At)
	if ticket.request.drill != nil {
		ticket.request.drill.recordFirstEvent(ticket.request, report.At)
	}
	state.stopAwaiting(ticket)
	observedMs := ticket.elapsedMs(report.At)
	if ticket.prefill != nil {
		m.recordKVReleased(ticket.prefill)
		m.health.record(ticket.prefill.replica, 1, 0, report.At)
	}
	if ticket.isDisaggregated() {
		m.learnStep(state, ticket, observedMs)
		return
	}
	state.predictor.Observe(ticket.features, observedMs)
	m.prefillFactors.learn(ticket.request.Model, observedMs/max(ticket.predictedMs, 1))
	m.checkCacheHit(state, report, observedMs)
}

// checkCacheHit records a cache miss if the measured time to the first event exceeds the one predicted
// without any cached token. Only requests of a high affinity, for which the predictions of hit and miss
// differ by the configured margin, are checked.
func (m *Matcher) checkCacheHit(state *replicaState, report Report, observedMs float64) {
	ticket := report.Ticket
	request := ticket.request
	if ticket.cachedTokens/max(1, request.PromptTokens) < m.parameters.HitCheckAffinity {
		return
	}
	uncached := ticket.features
	uncached[featureUncached] = request.PromptTokens / tokensPerThousand * ticket.prefillFactor
	uncached[featureAffinity] = 0
	missMs := state.predictor.Latency(uncached)
	if missMs-ticket.predictedMs > m.parameters.HitCheckMarginMs && observedMs > missMs {
		m.ledger.RecordMiss(ticket.replica, request.prompt())
		m.ledger.RecordPrompt(ticket.replica, request.prompt(), request.ArrivedAt, report.At)
	}
}
