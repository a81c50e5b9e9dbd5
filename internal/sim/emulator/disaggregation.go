package emulator

import (
	"math"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/discovery"
	"ferryspar/internal/routing"
)

// Disaggregation is the model of disaggregated prefill and decode: each replica either processes prompts or
// generates tokens. With a PrefillShare of 0 every replica does both.
type Disaggregation struct {
	// PrefillShare is the share of each zone's replicas that perform prefill; it is fixed during the run.
	PrefillShare float64 `koanf:"prefillShare"`
	// SequentialSelection selects the decode replica only after the prefill, instead of reserving one before it.
	SequentialSelection bool `koanf:"chooseInSequence"`
	// LinkMbps, KvTokenBytes and SetupMs determine the time to transfer a prompt's KV cache. The transfers to a
	// replica are serialized, and take twice as long between zones and ten times as long between regions.
	LinkMbps     float64 `koanf:"linkMbps"`
	KvTokenBytes float64 `koanf:"kvTokenBytes"`
	SetupMs      float64 `koanf:"setupMs"`
	// HandleExpiryS is how long a prefill replica holds the KV cache of a prompt that no decode replica fetches.
	HandleExpiryS float64 `koanf:"handleS"`
}

const (
	// decodePrefillSlowdown and decodeChunkShare make a decode replica process prompts slower and in smaller
	// chunks than a prefill replica.
	decodePrefillSlowdown = 2.0
	decodeChunkShare      = 0.25
	// crossZoneTransferFactor and crossRegionTransferFactor multiply the transfer time.
	crossZoneTransferFactor   = 2.0
	crossRegionTransferFactor = 10.0
	// maxPrefillFailures is the number of failures after which a request continues without a prefill replica.
	maxPrefillFailures = 2
)

// phaseOf returns the phase of the machine at the given position among those of its zone.
func (s Disaggregation) phaseOf(place int) discovery.Phase {
	if s.PrefillShare <= 0 {
		return ""
	}
	if math.Floor(float64(place+1)*s.PrefillShare) > math.Floor(float64(place)*s.PrefillShare) {
		return discovery.PhasePrefill
	}
	return discovery.PhaseDecode
}

// heldPrompt is the KV cache of a prompt that a prefill replica holds under a handle.
type heldPrompt struct {
	server *server
	run    *execution
	// released is set once the KV cache has been fetched or released or has expired.
	released bool
}

// release frees the KV cache space. Later calls have no effect.
func (h *heldPrompt) release() {
	if h.released {
		return
	}
	h.released = true
	h.server.cache.pin(h.run.model, h.run.prefixHashes, -1)
	h.server.cache.release(h.run.reservedTokens)
	h.server.startStep()
}

// hold ends the prefill of a prompt: it frees the slot, holds the KV cache until it expires, and notifies the
// edge.
func (s *server) hold(run *execution) {
	run.ended = true
	s.running = filter(s.running, func(other *execution) bool { return other != run })
	held := &heldPrompt{server: s, run: run}
	s.world.events.After(seconds(s.world.scenario.Disaggregation.HandleExpiryS), held.release)
	number := run.forwardNumber
	run.attempt.edge.afterLink(s.machine.zone, func() { run.attempt.onPrefilled(number, held) })
}

// fetch transfers the KV cache of a prompt to this server and queues the execution when that is complete. It
// reports whether the KV cache was still available.
func (s *server) fetch(run *execution) bool {
	source := run.source
	if source.released || source.server.dead {
		return false
	}
	now := s.world.now()
	begin := now
	if s.linkFreeAt.After(now) {
		begin = s.linkFreeAt
	}
	s.linkFreeAt = begin.Add(s.transferTime(source))
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

// transferTime returns how long the transfer of a prompt's KV cache to this server takes.
func (s *server) transferTime(source *heldPrompt) time.Duration {
	disaggregation := s.world.scenario.Disaggregation
	from, to := s.world.scenario.Zones[source.server.machine.zone], s.world.scenario.Zones[s.machine.zone]
	distance := 1.0
	switch {
	case from.Region != to.Region:
		distance = crossRegionTransferFactor
	case from.Name != to.Name:
		distance = crossZoneTransferFactor
	}
	const bitsPerByte, kilobitsPerMegabit = 8, 1000
	transferredBits := source.run.attempt.call.request.Prompt * disaggregation.KvTokenBytes * bitsPerByte
	transferMs := transferredBits / (disaggregation.LinkMbps * kilobitsPerMegabit)
	return milliseconds(disaggregation.SetupMs + transferMs*distance)
}

// prefill forwards the request to the replica of the prefill step first.
func (p *attempt) prefill(decision routing.Decision) {
	step := decision.Prefill
	p.prefillStep, p.decodeReplica = step, decision.Replica
	p.forward(p.edge.world.servers[step.Replica.ID])
	number := p.forwardNumber
	p.edge.world.events.After(step.Timeout, func() {
		if !p.isOver() && p.forwardNumber == number && p.prefillStep != nil {
			p.onPrefillFailure(routing.OutcomeCancelled)
		}
	})
}

// onPrefilled continues at the decode replica, or requests another one if that can no longer be used.
func (p *attempt) onPrefilled(number int, held *heldPrompt) {
	if p.isOver() || p.forwardNumber != number || p.prefillStep == nil {
		held.release()
		return
	}
	step := p.prefillStep
	p.prefillStep, p.held = nil, held
	p.edge.lastUsed[p.replicaID] = p.edge.world.now()
	usable := p.edge.matcher.CompletePrefillSync(step)
	if usable && p.edge.world.scenario.Disaggregation.SequentialSelection {
		p.reportOutcome(routing.OutcomeWithdrawn)
		usable = false
	}
	if !usable {
		p.ticket = nil
		p.request.CompletedPrefill = step
		p.enqueue()
		p.edge.processDecisions()
		return
	}
	p.forward(p.edge.world.servers[p.decodeReplica.ID])
	p.edge.processDecisions()
}

// onPrefillFailure tries another prefill replica or continues without one. A long prompt whose prefill timed
// out is rejected as overloaded instead.
func (p *attempt) onPrefillFailure(outcome routing.Outcome) {
	step := p.prefillStep
	p.prefillStep = nil
	p.edge.reportOutcome(step.Ticket, outcome)
	p.reportOutcome(routing.OutcomeCancelled)
	p.closeConnection()
	p.forwardNumber++
	p.prefillFailures++
	p.request.ExcludedReplicas[step.Replica.ID] = true
	isLong := p.request.PromptTokens > routing.MaxColocatedPrefillTokens
	if outcome == routing.OutcomeCancelled && isLong {
		p.fail(apierror.NewRetryable(apierror.Overloaded, 100*time.Millisecond))
		p.edge.processDecisions()
		return
	}
	p.request.NoPrefillStep = outcome == routing.OutcomeCancelled || p.prefillFailures >= maxPrefillFailures
	p.enqueue()
	p.edge.processDecisions()
}

// releaseHeld releases the KV cache that the attempt holds, if any.
func (p *attempt) releaseHeld() {
	if p.held == nil {
		return
	}
	held := p.held
	p.held, p.request.CompletedPrefill = nil, nil
	p.edge.afterLink(held.server.machine.zone, held.release)
}
