package routing

import "time"

// replicaState is what this data plane knows of one replica from its own requests. It outlives
// snapshots of the fleet and belongs to the matcher's goroutine.
type replicaState struct {
	predictor         *Predictor
	running           int                  // requests sent and not yet finished
	tokens            float64              // prompt and output tokens of those
	pendingTokens     float64              // uncached prompt tokens times pace, of those before their first event
	recentSends       []time.Time          // newest last; as many as the cold rule needs
	hashFraction      float64              // stable hash of daemon and replica in [0, 1), for shares and cold sends
	lastActivity      time.Time            // last sign of life
	awaitingFirst     map[*Ticket]bool     // sent, no first event yet
	inFlight          map[*Ticket]bool     // sent, not finished
	suspectUntil      time.Time            // nothing is sent before
	suspicionDuration time.Duration        // length of the next suspicion
	shuttingDown      bool                 // the replica said that it ends
	fullUntil         time.Time            // it said that it is full; nothing is sent before
	missingUntil      map[string]time.Time // by model: it said that the model is not loaded
	unlistedAt        time.Time            // since when the snapshot leaves it out, zero if it is listed
}

const (
	// minSuspicion doubles with every failure in a row, up to maxSuspicion.
	minSuspicion = 700 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// inactivityTimeout without any sign of life while a first event is awaited makes a replica suspect.
	inactivityTimeout   = 900 * time.Millisecond
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

// suspected reports whether the replica should get nothing now: it is gone, it failed lately, or it
// owes a first event and has shown no sign of life for inactivityTimeout.
func (s *replicaState) isSuspected(now time.Time) bool {
	if s.shuttingDown || now.Before(s.suspectUntil) {
		return true
	}
	if s.running == 0 {
		return false
	}
	oldest := now
	for ticket := range s.awaitingFirst {
		if ticket.sentAt.Before(oldest) {
			oldest = ticket.sentAt
		}
	}
	if s.lastActivity.After(oldest) {
		oldest = s.lastActivity
	}
	return len(s.awaitingFirst) > 0 && now.Sub(oldest) > inactivityTimeout
}

// distrust suspects the replica for a while, twice as long each time without a sign of life between.
func (s *replicaState) suspect(now time.Time) {
	s.suspectUntil = now.Add(s.suspicionDuration)
	s.suspicionDuration = min(s.suspicionDuration*2, maxSuspicion)
}

// trust notes a sign of life and ends any suspicion.
func (s *replicaState) recordActivity(now time.Time) {
	s.lastActivity = now
	s.suspectUntil = time.Time{}
	s.suspicionDuration = minSuspicion
}

// mayUseWarmingUp reports whether this data plane may send one more request to the replica while it is
// cold: it is designated by its hash fraction and has sent less than allowed in the window.
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

// recordSend remembers the time of a send and forgets all but the newest remembered ones.
func (s *replicaState) recordSend(now time.Time, remembered int) {
	if over := len(s.recentSends) + 1 - remembered; over > 0 {
		kept := copy(s.recentSends, s.recentSends[over:])
		s.recentSends = s.recentSends[:kept]
	}
	s.recentSends = append(s.recentSends, now)
}
