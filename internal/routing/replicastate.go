package routing

import "time"

// replicaState is what this data plane knows of one replica from its own requests. It outlives snapshots of
// the fleet and belongs to the matcher's goroutine.
type replicaState struct {
	predictor         *Predictor
	running           int                  // requests sent and not yet finished
	tokens            float64              // prompt and output tokens of those
	pendingTokens     float64              // uncached prompt tokens times pace, of those before their first event
	recentSends       []time.Time          // newest last; as many as the warm-up limit needs
	hashFraction      float64              // stable hash of data plane and replica in [0, 1), for shares
	lastActivity      time.Time            // last event of an answer
	awaitingFirst     map[*Ticket]bool     // sent, no first event yet
	inFlight          map[*Ticket]bool     // sent, not finished
	suspectUntil      time.Time            // nothing is sent before
	suspicionDuration time.Duration        // of the next suspicion
	shuttingDown      bool                 // the replica said so
	fullUntil         time.Time            // it said that it is full; nothing is sent before
	missingUntil      map[string]time.Time // by model: it said that the model is not loaded
	unlistedAt        time.Time            // since when the snapshot omits it, zero if it is listed

	idHash   uint64       // of the replica's id, to rank replicas for a prefix
	slowness stepSlowness // of the steps of a split backend
	held     heldMemory   // prompts read here and not fetched yet
	// handlesGoneUntil is until when no prompt is read here, since memory held here could not be fetched lately.
	handlesGoneUntil time.Time
	// peerPending and peerRunning smooth what the other data planes have waiting and running here.
	peerPending smoothedLoad
	peerRunning smoothedLoad
}

const (
	// minSuspicion doubles with every failure in a row, up to maxSuspicion.
	minSuspicion = 700 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// inactivityTimeout without any activity while a first event is awaited makes a replica suspect.
	inactivityTimeout = 900 * time.Millisecond
	// fullBackoff and modelMissingBackoff are how long nothing is sent to a replica that said that it is
	// full, or nothing for a model that it said is not loaded.
	fullBackoff         = 60 * time.Millisecond
	modelMissingBackoff = 400 * time.Millisecond
)

// newReplicaState is the state of a replica that nothing was sent to yet.
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
	s.pendingTokens += ticket.uncachedTokens * ticket.pace
	s.awaitingFirst[ticket] = true
}

// reserve counts a request whose prompt is being read elsewhere, so that its place is kept.
func (s *replicaState) reserve(ticket *Ticket) {
	s.running++
	s.tokens += ticket.tokens()
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
}

// stopAwaiting records that a ticket's first event has come or will never come.
func (s *replicaState) stopAwaiting(ticket *Ticket) {
	if !s.awaitingFirst[ticket] {
		return
	}
	delete(s.awaitingFirst, ticket)
	s.pendingTokens = max(s.pendingTokens-ticket.uncachedTokens*ticket.pace, 0)
}

// isSuspected reports whether the replica should get nothing now: it is shutting down, it failed lately, or
// a first event is awaited and it has shown no activity for inactivityTimeout.
func (s *replicaState) isSuspected(now time.Time) bool {
	if s.shuttingDown || now.Before(s.suspectUntil) {
		return true
	}
	for ticket := range s.awaitingFirst {
		since := ticket.sentAt
		if s.lastActivity.After(since) {
			since = s.lastActivity
		}
		if now.Sub(since) > ticket.patience() {
			return true
		}
	}
	return false
}

// suspect suspects the replica for a while, twice as long each time without activity between.
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
// warming up: it is designated by its hash fraction and has sent less than allowed in the window.
func (s *replicaState) maySendDuringWarmUp(now time.Time, share warmUpShare) bool {
	if s.hashFraction >= share.chance {
		return false
	}
	recent := 0
	for _, sent := range s.recentSends {
		if now.Sub(sent) < share.window {
			recent++
		}
	}
	return recent < share.allowed
}

// recordSend remembers the time of a send, and of the sends before it as many as fill the limit.
func (s *replicaState) recordSend(now time.Time, limit int) {
	if over := len(s.recentSends) + 1 - limit; over > 0 {
		count := copy(s.recentSends, s.recentSends[over:])
		s.recentSends = s.recentSends[:count]
	}
	s.recentSends = append(s.recentSends, now)
}
