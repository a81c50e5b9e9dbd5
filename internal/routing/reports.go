package routing

// reportHandler applies one kind of outcome to the replica's state.
type reportHandler func(m *Matcher, state *replicaState, report Report)

var reportHandlers = map[Outcome]reportHandler{
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
	OutcomeConnectionReset: func(m *Matcher, state *replicaState, report Report) {},
	OutcomeStalled:         (*Matcher).onActivity,
}

// isRunningAfter are the outcomes after which the request goes on.
var isRunningAfter = map[Outcome]bool{OutcomeFirstEvent: true, OutcomeProgress: true, OutcomeStalled: true}

// isNotExecutedAfter are the outcomes after which the replica's cache cannot hold the prompt.
var isNotExecutedAfter = map[Outcome]bool{OutcomeFull: true, OutcomeModelMissing: true, OutcomeShuttingDown: true, OutcomeUnreachable: true}

// handleReport applies a report. If it ends the request, what waits for the replica is tried,
// unless new requests wait for their batch anyway.
func (m *Matcher) handleReport(report Report) {
	ticket := report.Ticket
	state := m.watchState(ticket.replica)
	m.recordOutcome(report)
	reportHandlers[report.Outcome](m, state, report)
	if isRunningAfter[report.Outcome] {
		return
	}
	m.finishRequest(state, ticket)
	if isNotExecutedAfter[report.Outcome] {
		m.ledger.RecordMiss(ticket.replica, ticket.request.prompt())
	}
	if m.OnSuspect != nil && state.isSuspected(report.At) {
		m.OnSuspect(ticket.replica)
	}
	if len(m.waiting) > 0 && m.newlyQueued == 0 {
		m.retryForReplica(ticket.replica)
	}
}

// finish takes an ended request off the replica's books.
func (m *Matcher) finishRequest(state *replicaState, ticket *Ticket) {
	m.stopAwaiting(state, ticket)
	delete(state.inFlight, ticket)
	state.running--
	state.tokens -= ticket.request.TotalTokens()
	key := [2]string{ticket.request.Backend, ticket.request.Model}
	if m.running[key]--; m.running[key] <= 0 {
		delete(m.running, key)
	}
}

// stopAwaiting notes that a ticket's first event has come or will never come.
func (m *Matcher) stopAwaiting(state *replicaState, ticket *Ticket) {
	if !state.awaitingFirst[ticket] {
		return
	}
	delete(state.awaitingFirst, ticket)
	state.pendingTokens = max(state.pendingTokens-ticket.uncachedTokens*ticket.pace, 0)
}

func (m *Matcher) onActivity(state *replicaState, report Report) { state.recordActivity(report.At) }

func (m *Matcher) onServed(state *replicaState, report Report) { state.predictor.RecordOutcome(true) }

func (m *Matcher) onFailed(state *replicaState, report Report) { state.predictor.RecordOutcome(false) }

func (m *Matcher) onFull(state *replicaState, report Report) {
	state.fullUntil = report.At.Add(fullBackoff)
}

func (m *Matcher) onModelMissing(state *replicaState, report Report) {
	state.missingUntil[report.Ticket.request.Model] = report.At.Add(modelMissingBackoff)
}

func (m *Matcher) onShuttingDown(state *replicaState, report Report) { state.shuttingDown = true }

func (m *Matcher) onUnreachable(state *replicaState, report Report) { state.suspect(report.At) }

// cancelled distrusts a replica that a client gave up on before it showed any sign of life.
func (m *Matcher) onCancelled(state *replicaState, report Report) {
	sent := report.Ticket.sentAt
	if state.awaitingFirst[report.Ticket] && report.At.Sub(sent) > inactivityTimeout && state.lastActivity.Before(sent) {
		state.suspect(report.At)
	}
}

func (m *Matcher) onTruncated(state *replicaState, report Report) {
	if request := report.Ticket.request; request.drill != nil {
		request.drill.recordTruncation(request)
	}
	state.predictor.RecordOutcome(false)
	state.suspect(report.At)
}

// onFirstEvent teaches the predictor and the model's pace the measured time to the first event, and
// checks whether the cache was hit. Further ones of the same ticket change nothing.
func (m *Matcher) onFirstEvent(state *replicaState, report Report) {
	ticket := report.Ticket
	if ticket.firstEventSeen {
		return
	}
	ticket.firstEventSeen = true
	state.recordActivity(report.At)
	if ticket.request.drill != nil {
		ticket.request.drill.recordFirstEvent(ticket.request, report.At)
	}
	m.stopAwaiting(state, ticket)
	observed := float64(report.At.Sub(ticket.sentAt).Microseconds()) / 1000
	state.predictor.Observe(ticket.features, observed)
	m.learnPace(ticket.request.Model, observed/max(ticket.predictedMs, 1))
	m.checkCacheHit(state, report, observed)
}

// checkCacheHit drops what the ledger claimed of a prompt when the measured time to the first event, in
// ms, is beyond that predicted without any cached token (§4.1 loop). Only requests of a high
// affinity, and of a measurable difference, are checked.
func (m *Matcher) checkCacheHit(state *replicaState, report Report, observed float64) {
	ticket := report.Ticket
	request := ticket.request
	if ticket.cachedTokens/max(1, request.PromptTokens) < m.parameters.HitAffinity {
		return
	}
	warmUp := ticket.features
	warmUp[featureUncached] = request.PromptTokens / 1000 * ticket.pace
	warmUp[featureAffinity] = 0
	missed := state.predictor.Latency(warmUp)
	if missed-ticket.predictedMs > m.parameters.HitMargin && observed > missed {
		m.ledger.RecordMiss(ticket.replica, request.prompt())
		m.ledger.RecordPrompt(ticket.replica, request.prompt(), request.Arrived, report.At)
	}
}
