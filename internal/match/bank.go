package match

import "time"

type bank struct {
	predictor  *Predictor
	running    int
	tokens     float64
	pending    float64
	sends      []time.Time
	lastByte   time.Time
	unanswered map[*Ticket]bool
	inside     map[*Ticket]bool
	suspect    time.Time
	suspicion  time.Duration
	gone       bool
	fullUntil  time.Time
	missing    map[string]time.Time
}

const (
	firstSuspicion = 700 * time.Millisecond
	lastSuspicion  = 4 * time.Second
	darkAfter      = 900 * time.Millisecond
	fullPause      = 60 * time.Millisecond
	missingPause   = 400 * time.Millisecond
)

func newBank(predictor *Predictor) *bank {
	return &bank{predictor: predictor, unanswered: map[*Ticket]bool{}, inside: map[*Ticket]bool{}, missing: map[string]time.Time{}, suspicion: firstSuspicion}
}

func (b *bank) suspected(now time.Time) bool {
	if b.gone || now.Before(b.suspect) {
		return true
	}
	if b.running == 0 {
		return false
	}
	oldest := now
	for ticket := range b.unanswered {
		if ticket.sent.Before(oldest) {
			oldest = ticket.sent
		}
	}
	if b.lastByte.After(oldest) {
		oldest = b.lastByte
	}
	return len(b.unanswered) > 0 && now.Sub(oldest) > darkAfter
}

func (b *bank) distrust(now time.Time) {
	b.suspect = now.Add(b.suspicion)
	b.suspicion = min(b.suspicion*2, lastSuspicion)
}

func (b *bank) trust(now time.Time) {
	b.lastByte = now
	b.suspect = time.Time{}
	b.suspicion = firstSuspicion
}

func (b *bank) coldRoom(now time.Time, perSecond float64, edges int) bool {
	share := max(perSecond/float64(max(edges, 1)), 0.01)
	allowed := max(int(share), 1)
	window := time.Second
	if share < 1 {
		window = time.Duration(float64(time.Second) / share)
	}
	recent := 0
	for _, sent := range b.sends {
		if now.Sub(sent) < window {
			recent++
		}
	}
	return recent < allowed
}

func (b *bank) noteSend(now time.Time) {
	kept := b.sends[:0]
	for _, sent := range b.sends {
		if now.Sub(sent) < 10*time.Second {
			kept = append(kept, sent)
		}
	}
	if len(kept) > 64 {
		kept = kept[len(kept)-64:]
	}
	b.sends = append(kept, now)
}
