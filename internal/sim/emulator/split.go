package emulator

import (
	"math"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/discovery"
	"ferryspar/internal/routing"
)

// Split is the model of replicas that either read prompts (prefill) or make tokens (decode). With a PrefillShare of 0 every
// replica does both.
type Split struct {
	// PrefillShare is the share of each zone's replicas that read prompts; it stays as it is.
	PrefillShare float64 `koanf:"prefillShare"`
	// InSequence has the decode replica chosen only after the prompt was read, without a place kept for it before.
	InSequence bool `koanf:"chooseInSequence"`
	// LinkMbps, KvTokenBytes and SetupMs are what a move of a prompt's memory takes: the moves of a replica go one after
	// another, and take twice as long between zones and ten times between regions.
	LinkMbps     float64 `koanf:"linkMbps"`
	KvTokenBytes float64 `koanf:"kvTokenBytes"`
	SetupMs      float64 `koanf:"setupMs"`
	// HandleS is how long a prefill replica holds memory that nobody takes.
	HandleS float64 `koanf:"handleS"`
}

const (
	// decodeReadFactor and decodeChunkShare: a decode replica reads prompts slower and in smaller pieces.
	decodeReadFactor = 2.0
	decodeChunkShare = 0.25
	// otherZoneMove and otherRegionMove lengthen a move.
	otherZoneMove   = 2.0
	otherRegionMove = 10.0
	// maxPrefillFailures is after how many failures a request goes on without a prefill replica.
	maxPrefillFailures = 2
)

// phaseOf is the phase of a zone's machine by its place among them.
func (s Split) phaseOf(place int) discovery.Phase {
	if s.PrefillShare <= 0 {
		return ""
	}
	if math.Floor(float64(place+1)*s.PrefillShare) > math.Floor(float64(place)*s.PrefillShare) {
		return discovery.PhasePrefill
	}
	return discovery.PhaseDecode
}

// heldPrompt is the memory of a prompt that a prefill replica holds under a handle.
type heldPrompt struct {
	server *server
	run    *execution
	// gone is set once it was taken, freed or lapsed.
	gone bool
}

// release frees the memory.
func (h *heldPrompt) release() {
	if h.gone {
		return
	}
	h.gone = true
	h.server.cache.pin(h.run.model, h.run.dialogues, -1)
	h.server.cache.release(h.run.reservedTokens)
	h.server.startStep()
}

// hold ends the reading of a prompt: its slot is free, its memory is held for a while, and the edge is told.
func (s *server) hold(run *execution) {
	run.ended = true
	s.running = filter(s.running, func(other *execution) bool { return other != run })
	held := &heldPrompt{server: s, run: run}
	s.world.events.After(seconds(s.world.scenario.Split.HandleS), held.release)
	number := run.forwardNumber
	run.attempt.edge.afterLink(s.machine.zone, func() { run.attempt.onPrefilled(number, held) })
}

// fetch moves the memory of a prompt to this server and queues the execution once it is there. It reports whether the memory
// could be had.
func (s *server) fetch(run *execution) bool {
	source := run.source
	if source.gone || source.server.dead {
		return false
	}
	now := s.world.now()
	begin := now
	if s.linkFreeAt.After(now) {
		begin = s.linkFreeAt
	}
	s.linkFreeAt = begin.Add(s.moveTime(source))
	run.server = s
	s.fetching++
	s.world.events.At(s.linkFreeAt, func() {
		s.fetching--
		source.release()
		if run.ended || s.dead {
			return
		}
		run.fetched = true
		s.enqueue(run)
	})
	return true
}

// moveTime is how long a prompt's memory takes to this server.
func (s *server) moveTime(source *heldPrompt) time.Duration {
	split := s.world.scenario.Split
	from, to := s.world.scenario.Zones[source.server.machine.zone], s.world.scenario.Zones[s.machine.zone]
	distance := 1.0
	switch {
	case from.Region != to.Region:
		distance = otherRegionMove
	case from.Name != to.Name:
		distance = otherZoneMove
	}
	const bitsPerByte, kilobitsPerMegabit = 8, 1000
	moveMs := source.run.attempt.call.request.Prompt * split.KvTokenBytes * bitsPerByte / (split.LinkMbps * kilobitsPerMegabit)
	return milliseconds(split.SetupMs + moveMs*distance)
}

// prefill has the prompt read by the step's replica first.
func (p *attempt) prefill(decision routing.Decision) {
	step := decision.Prefill
	p.step, p.decode = step, decision.Replica
	p.forward(p.edge.world.servers[step.Replica.ID])
	number := p.forwardNumber
	p.edge.world.events.After(step.Timeout, func() {
		if !p.isOver() && p.forwardNumber == number && p.step != nil {
			p.onPrefillFailure(routing.OutcomeCancelled)
		}
	})
}

// onPrefilled goes on at the decode replica, or has another one chosen if that one may not continue.
func (p *attempt) onPrefilled(number int, held *heldPrompt) {
	if p.isOver() || p.forwardNumber != number || p.step == nil {
		held.release()
		return
	}
	step := p.step
	p.step, p.held = nil, held
	p.edge.lastUsed[p.replicaID] = p.edge.world.now()
	usable := p.edge.matcher.CompletePrefillSync(step)
	if usable && p.edge.world.scenario.Split.InSequence {
		p.reportOutcome(routing.OutcomeWithdrawn)
		usable = false
	}
	if !usable {
		p.ticket = nil
		p.request.CompletedPrefill = step
		p.enqueue()
		p.edge.collectAnswers()
		return
	}
	p.forward(p.edge.world.servers[p.decode.ID])
	p.edge.collectAnswers()
}

// onPrefillFailure tries another prefill replica, or goes on without one.
func (p *attempt) onPrefillFailure(outcome routing.Outcome) {
	step := p.step
	p.step = nil
	p.edge.reportOutcome(step.Ticket, outcome)
	p.reportOutcome(routing.OutcomeCancelled)
	p.hangUp()
	p.forwardNumber++
	p.prefillFailures++
	p.request.ExcludedReplicas[step.Replica.ID] = true
	isLong := p.request.PromptTokens > routing.MaxColocatedPrefillTokens
	if outcome == routing.OutcomeCancelled && isLong {
		p.fail(apierror.NewRetryable(apierror.Overloaded, 100*time.Millisecond))
		p.edge.collectAnswers()
		return
	}
	p.request.NoPrefillStep = outcome == routing.OutcomeCancelled || p.prefillFailures >= maxPrefillFailures
	p.enqueue()
	p.edge.collectAnswers()
}

// dropHeld frees the memory that the attempt holds, if any.
func (p *attempt) dropHeld() {
	if p.held == nil {
		return
	}
	held := p.held
	p.held, p.request.CompletedPrefill = nil, nil
	p.edge.afterLink(held.server.machine.zone, held.release)
}
