package match

import "time"

type bank struct {
	predictor  *Predictor
	running    int
	tokens     float64
	pending    float64
	sends      []time.Time
	draw       float64
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

func (b *bank) coldRoom(now time.Time, share coldShare) bool {
	if b.draw >= share.chance {
		return false
	}
	recent := 0
	for _, sent := range b.sends {
		if now.Sub(sent) < share.window {
			recent++
		}
	}
	return recent < share.allowed
}

func (b *bank) noteSend(now time.Time, remembered int) {
	if over := len(b.sends) + 1 - remembered; over > 0 {
		b.sends = b.sends[:copy(b.sends, b.sends[over:])]
	}
	b.sends = append(b.sends, now)
}
