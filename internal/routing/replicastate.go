package routing

import "time"

// replicaState is the state of one replica as observed through this data plane's own requests. It outlives
// snapshots of the fleet and belongs to the matcher's goroutine.
type replicaState struct {
	predictor         *Predictor
	running           int                  // requests sent and not yet finished
	tokens            float64              // prompt and output tokens of the running requests
	slotsPerMs        float64              // rate at which the running requests are expected to end
	pendingTokens     float64              // uncached prompt tokens times prefill factor, of requests before their first event
	recentSends       []time.Time          // newest last; limited to what the warm-up limit needs
	hashFraction      float64              // stable hash of data plane and replica in [0, 1), for shares
	lastActivity      time.Time            // last event of an answer
	awaitingFirst     map[*Ticket]bool     // sent, no first event yet
	inFlight          map[*Ticket]bool     // sent, not finished
	suspectUntil      time.Time            // no requests are sent before
	suspicionDuration time.Duration        // of the next suspicion
	shuttingDown      bool                 // as the replica answered
	fullUntil         time.Time            // set after a rejection as full; no requests are sent before
	missingUntil      map[string]time.Time // by model: set after the answer that it is not loaded
	unlistedAt        time.Time            // when the replica left the snapshot; zero if it is listed

	idHash    uint64       // of the replica's id, to rank replicas for a prefix
	slowness  stepSlowness // of the steps of a disaggregated backend
	unfetched unfetchedKV  // KV caches that were not fetched yet
	// noPrefillUntil is set after a KV cache could not be fetched from here; no prefills are sent before.
	noPrefillUntil time.Time
	// peerPending and peerRunning smooth the load from the other data planes.
	peerPending smoothedLoad
	peerRunning smoothedLoad
}

const (
	// minSuspicion is the first duration of a suspicion. It doubles with each consecutive one, up to maxSuspicion.
	minSuspicion = 700 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// inactivityTimeout is the time without activity after which a replica is suspected while a first event is awaited.
	inactivityTimeout = 900 * time.Millisecond
	// fullBackoff is how long no requests are sent to a replica that rejected one as full, modelMissingBackoff
	// how long none are sent for a model that the replica reported as not loaded.
	fullBackoff         = 60 * time.Millisecond
	modelMissingBackoff = 400 * time.Millisecond
)

// newReplicaState returns the state of a replica that no request was sent to yet.
func newReplicaState(predictor *Predictor) *replicaState {
	return &replicaState{
		predictor:         predictor,
		awaitingFirst:     map[*Ticket]bool{},
		inFlight:          map[*Ticket]bool{},
		missingUntil:      map[string]time.Time{},
		suspicionDuration: minSuspicion,
	}
}

// recordTicket counts a request that is sent with the ticket.
func (s *replicaState) recordTicket(ticket *Ticket) {
	s.reserve(ticket)
	s.pendingTokens += ticket.uncachedTokens * ticket.prefillFactor
	s.awaitingFirst[ticket] = true
}

// reserve counts a request whose prefill runs elsewhere, so that its slot and memory stay available.
func (s *replicaState) reserve(ticket *Ticket) {
	s.running++
	s.tokens += ticket.tokens()
	s.slotsPerMs += ticket.endsPerMs()
	s.inFlight[ticket] = true
}

// start counts a reserved request as sent.
func (s *replicaState) start(ticket *Ticket, now time.Time) {
	ticket.sentAt = now
	s.awaitingFirst[ticket] = true
}

// finish removes a request that has ended.
func (s *replicaState) finish(ticket *Ticket) {
	s.stopAwaiting(ticket)
	delete(s.inFlight, ticket)
	s.running--
	s.tokens -= ticket.tokens()
	s.slotsPerMs -= ticket.endsPerMs()
	if s.running == 0 {
		s.slotsPerMs = 0 // no rounding errors are left
	}
}

// stopAwaiting records that a ticket's first event has arrived or will not arrive.
func (s *replicaState) stopAwaiting(ticket *Ticket) {
	if !s.awaitingFirst[ticket] {
		return
	}
	delete(s.awaitingFirst, ticket)
	s.pendingTokens = max(s.pendingTokens-ticket.uncachedTokens*ticket.prefillFactor, 0)
}

// isSuspected reports whether no requests should be sent to the replica now: it is shutting down, it failed
// recently, or a first event is awaited and the replica has shown no activity for the suspicion timeout.
func (s *replicaState) isSuspected(now time.Time) bool {
	if s.shuttingDown || now.Before(s.suspectUntil) {
		return true
	}
	for ticket := range s.awaitingFirst {
		since := ticket.sentAt
		if s.lastActivity.After(since) {
			since = s.lastActivity
		}
		if now.Sub(since) > ticket.suspicionTimeout() {
			return true
		}
	}
	return false
}

// suspect suspects the replica, for twice as long as the last time if it has shown no activity since.
func (s *replicaState) suspect(now time.Time) {
	s.suspectUntil = now.Add(s.suspicionDuration)
	s.suspicionDuration = min(s.suspicionDuration*2, maxSuspicion)
}

// recordActivity ends any suspicion.
func (s *replicaState) recordActivity(now time.Time) {
	s.lastActivity = now
	s.suspectUntil = time.Time{}
	s.suspicionDuration = minSuspicion
}

// maySendDuringWarmUp reports whether this data plane may send one more request to the replica while it is
// warming up: it is designated by its hash fraction, and has sent fewer requests than allowed in the window.
func (s *replicaState) maySendDuringWarmUp(now time.Time, share warmUpShare) bool {
	if s.hashFraction >= share.probability {
		return false
	}
	recent := 0
	for _, sent := range s.recentSends {
		if now.Sub(sent) < share.window {
			recent++
		}
	}
	return recent < share.maxSends
}

// recordSend records the time of a send and keeps the last limit times.
func (s *replicaState) recordSend(now time.Time, limit int) {
	if over := len(s.recentSends) + 1 - limit; over > 0 {
		count := copy(s.recentSends, s.recentSends[over:])
		s.recentSends = s.recentSends[:count]
	}
	s.recentSends = append(s.recentSends, now)
}
