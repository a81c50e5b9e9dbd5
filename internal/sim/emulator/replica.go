package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/sim/emulator/standin"
)

// machine is a host. It runs one server at a time; its disk content and speed outlive the server.
type machine struct {
	number      int
	zone        int
	phase       discovery.Phase
	speed       float64
	incarnation int
	// onDisk holds the references whose weights are on the local disk.
	onDisk   standin.ModelSet
	slowdown float64
	// current is the running server, or nil.
	current *server
}

// server is one incarnation of a replica, from its start to its death.
type server struct {
	world   *World
	machine *machine
	id      string
	// dead is set once the server has ended; it then answers nothing.
	dead bool
	// silent is set if the server died without closing its connections.
	silent bool
	loaded standin.ModelSet
	cache  *kvCache
	queue  []*execution
	// fetching counts the executions whose KV cache is being transferred to this server. Transfers are
	// serialized; the link is busy until linkFreeAt.
	fetching   int
	linkFreeAt time.Time
	running    []*execution
	stepping   bool
	coldUntil  time.Time
	// change is the load or unload in progress, or nil.
	change   *modelChange
	unlisted bool
}

// start starts a new incarnation of a machine's replica with the given references loaded.
func (w *World) start(host *machine, references ...string) *server {
	host.incarnation++
	started := &server{
		world:   w,
		machine: host,
		id:      fmt.Sprintf("replica-%03d.%d", host.number, host.incarnation),
		loaded:  standin.NewModelSet(references...),
		cache:   newKVCache(w.scenario.Replica.KvCacheTokens),
	}
	for _, reference := range references {
		host.onDisk[reference] = true
	}
	if host.incarnation > 1 {
		started.coldUntil = w.now().Add(seconds(w.scenario.Replica.ColdStartS))
	}
	host.current = started
	w.servers[started.id] = started
	return started
}

// entry returns the server's entry in the platform's list.
func (s *server) entry() discovery.Replica {
	listed := discovery.Replica{
		ID:      s.id,
		Backend: backendName,
		Address: fmt.Sprintf("machine-%03d", s.machine.number),
		Zone:    s.world.scenario.Zones[s.machine.zone].Name,
		Slots:   s.world.scenario.Replica.Slots,
		State:   "ready",
		Phase:   s.machine.phase,
		Models:  s.loaded.List(),
	}
	if remaining := s.coldUntil.Sub(s.world.now()); remaining > 0 {
		listed.WarmUpRemainingMs = float64(remaining.Milliseconds())
	}
	return listed
}

// admission is a replica's immediate response to a request.
type admission int

const (
	admissionQueued admission = iota
	admissionFull
	admissionModelMissing
)

// accept queues an execution by priority, or returns why it is rejected.
func (s *server) accept(run *execution) admission {
	if run.ended {
		return admissionQueued
	}
	if !s.loaded[run.model] || run.prefill != (s.machine.phase == discovery.PhasePrefill) {
		return admissionModelMissing
	}
	if s.change != nil && s.change.touches(run.model) {
		return admissionFull
	}
	performance := s.world.scenario.Replica
	if len(s.queue)+len(s.running)+s.fetching >= performance.Slots+performance.QueuePlaces {
		return admissionFull
	}
	if run.attempt.request.TotalTokens() > s.cache.total {
		return admissionFull
	}
	if run.source != nil {
		if !s.fetch(run) {
			return admissionFull
		}
		return admissionQueued
	}
	run.server = s
	s.enqueue(run)
	return admissionQueued
}

// enqueue queues an execution by priority and starts a step if none is running.
func (s *server) enqueue(run *execution) {
	s.queue = append(s.queue, run)
	slices.SortStableFunc(s.queue, func(left, right *execution) int { return cmp.Compare(left.priority, right.priority) })
	s.startStep()
}

// startStep admits queued executions and starts a batch step, which processes a chunk of prompt tokens and
// emits tokens at its end.
func (s *server) startStep() {
	if s.stepping || s.dead {
		return
	}
	s.admit()
	if len(s.running) == 0 {
		return
	}
	budget, processed := s.world.scenario.Replica.ChunkTokens, 0.0
	if s.machine.phase == discovery.PhaseDecode {
		budget *= decodeChunkShare
	}
	for _, run := range s.running {
		chunk := min(run.remainingPrefill, budget-processed)
		run.remainingPrefill -= chunk
		processed += chunk
	}
	s.stepping = true
	s.world.events.After(milliseconds(s.stepMs(processed)), s.finishStep)
}

// stepMs returns the duration, in milliseconds, of a step that processes the given number of prompt tokens.
func (s *server) stepMs(readTokens float64) float64 {
	performance := s.world.scenario.Replica
	decodeMs := performance.StepMs * (1 + performance.OccupancyFactor*float64(len(s.running))/float64(performance.Slots))
	readMs := readTokens / 1000 * performance.PrefillMs
	if s.machine.phase == discovery.PhaseDecode {
		readMs *= decodePrefillSlowdown
	}
	length := decodeMs + readMs
	length *= s.machine.speed * s.machine.slowdown
	if s.world.now().Before(s.coldUntil) {
		length *= performance.ColdFactor
	}
	return length
}

// finishStep emits a token for every execution whose prefill is complete and starts the next step.
func (s *server) finishStep() {
	s.stepping = false
	if s.dead {
		return
	}
	s.world.checkServer(s)
	for _, run := range slices.Clone(s.running) {
		if run.ended || run.remainingPrefill > 0 {
			continue
		}
		if !run.promptCompleted {
			run.promptCompleted = true
			if !run.prefill {
				s.world.checkStartedOnce(run)
			}
			run.reservedTokens -= s.cache.add(run.model, run.prefixHashes, run.attempt.call.request.Parts, run.cachedParts)
		}
		if run.prefill {
			s.hold(run)
			continue
		}
		s.emitEvent(run)
	}
	s.startStep()
}
