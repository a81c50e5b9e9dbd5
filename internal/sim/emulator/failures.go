package emulator

import (
	"slices"
	"strings"
	"time"

	"ferryspar/internal/routing"
)

// scheduleFailures schedules the scenario's losses, crashes and slowdowns.
func (w *World) scheduleFailures() {
	at := func(offset float64, act func()) { w.events.At(w.startedAt.Add(seconds(offset)), act) }
	for _, loss := range w.scenario.Losses {
		zones := w.zonesOf(loss)
		at(loss.AtS, func() { w.loseZones(zones, loss) })
		if loss.RestoreS > 0 {
			at(loss.RestoreS, func() { w.restoreZones(zones) })
		}
	}
	for _, crash := range w.scenario.Crashes {
		host := w.machines[crash.Replica-1]
		at(crash.AtS, func() { w.crash(host, seconds(crash.RestartS)) })
	}
	for _, slowdown := range w.scenario.Slowdowns {
		host := w.machines[slowdown.Replica-1]
		at(slowdown.AtS, func() { host.slowdown = slowdown.Factor })
		at(slowdown.EndS, func() { host.slowdown = 1 })
	}
}

// zonesOf returns the indices of the zones that a loss covers.
func (w *World) zonesOf(loss Loss) []int {
	var zones []int
	for index, zone := range w.scenario.Zones {
		if zone.Name == loss.Zone || zone.Region == loss.Region && loss.Region != "" {
			zones = append(zones, index)
		}
	}
	return zones
}

// loseZones takes the zones down. If loss.Closed is set, connections are closed at once; otherwise the lost
// side stops responding without closing them.
func (w *World) loseZones(zones []int, loss Loss) {
	w.recordLoss(zones, loss)
	for _, dataPlane := range w.edges {
		if !dataPlane.alive || !slices.Contains(zones, dataPlane.zone) {
			continue
		}
		dataPlane.alive = false
		w.stopRoutingLater(dataPlane, dataPlane.incarnation)
	}
	for _, zone := range zones {
		w.lostZones[zone] = true
	}
	for _, host := range w.machines {
		if host.current != nil && slices.Contains(zones, host.zone) {
			w.kill(host.current, !loss.Closed)
		}
	}
	if loss.Closed {
		w.closeClientConnections(zones)
	}
	if slices.Contains(zones, w.control.zone) {
		w.control.fail()
	}
}

// stopRoutingLater stops routing clients to a dead edge after the platform's detection time.
func (w *World) stopRoutingLater(dataPlane *edge, incarnation int) {
	w.events.After(seconds(w.scenario.Platform.DataPlaneDetectionS), func() {
		if !dataPlane.alive && dataPlane.incarnation == incarnation {
			dataPlane.routable = false
		}
	})
}

// closeClientConnections closes the connections of the clients whose edge has died.
func (w *World) closeClientConnections(zones []int) {
	for _, clientCall := range w.calls {
		if clientCall.ended || clientCall.attempt == nil {
			continue
		}
		if dataPlane := clientCall.attempt.edge; dataPlane.alive || !slices.Contains(zones, dataPlane.zone) {
			continue
		}
		clientAttempt := clientCall.attempt
		clientAttempt.sendToClient(func() { clientCall.onTruncated(clientAttempt.number) })
	}
}

// kill ends a server. If silent is set, it stops responding without closing its connections; otherwise the
// connections are closed and the edges see truncated responses.
func (w *World) kill(replica *server, dark bool) {
	if replica.dead {
		return
	}
	replica.dead, replica.silent = true, dark
	replica.machine.current = nil
	w.unlistLater(replica)
	if dark {
		return
	}
	for _, run := range append(slices.Clone(replica.queue), replica.running...) {
		run.attempt.edge.afterLink(replica.machine.zone, func() { run.attempt.onOutcome(run.forwardNumber, routing.OutcomeTruncated) })
	}
}

// crash kills a machine's server and, if restart is above 0, starts a new one after that time.
func (w *World) crash(host *machine, restart time.Duration) {
	if host.current == nil {
		return
	}
	w.kill(host.current, false)
	if restart > 0 {
		w.events.After(restart, func() {
			if host.current == nil && !w.lostZones[host.zone] {
				w.listLater(w.start(host))
			}
		})
	}
}

// restoreZones restores the zones. Replicas start without loaded models and edges without state; the
// machines' disks keep their content.
func (w *World) restoreZones(zones []int) {
	for _, zone := range zones {
		w.lostZones[zone] = false
	}
	for _, host := range w.machines {
		if slices.Contains(zones, host.zone) && host.current == nil {
			w.listLater(w.start(host))
		}
	}
	for _, dataPlane := range w.edges {
		if !slices.Contains(zones, dataPlane.zone) || dataPlane.alive {
			continue
		}
		dataPlane.start()
		incarnation := dataPlane.incarnation
		w.events.After(seconds(w.scenario.Platform.DataPlaneDetectionS), func() {
			if dataPlane.alive && dataPlane.incarnation == incarnation {
				dataPlane.routable = true
			}
		})
	}
}

// checkServer records a violation if a server exceeds its slots or its KV cache.
func (w *World) checkServer(s *server) {
	if len(s.running) > w.scenario.Replica.Slots {
		w.recordViolation("%s runs %d requests in %d slots", s.id, len(s.running), w.scenario.Replica.Slots)
	}
	if s.cache.reserved+s.cache.cached > s.cache.total+1e-6 || s.cache.reserved < -1e-6 || s.cache.cached < -1e-6 {
		w.recordViolation("%s has %.1f tokens reserved and %.1f cached of %.1f", s.id, s.cache.reserved, s.cache.cached, s.cache.total)
	}
}

// checkCapacity records a violation if a model is loaded on a server beyond its capacity.
func (w *World) checkCapacity(s *server, loading string) {
	models := 0
	for reference := range s.loaded {
		if !strings.Contains(reference, "/") {
			models++
		}
	}
	if !strings.Contains(loading, "/") && models >= w.scenario.Models.PerReplica {
		w.recordViolation("%s is ordered to load %s beyond its capacity", s.id, loading)
	}
}

// checkStartedOnce records a violation if an attempt of a class that is not resumable is executed twice.
func (w *World) checkStartedOnce(run *execution) {
	attempt := run.attempt.request.AttemptID
	if w.startedAttempts[attempt] && !run.attempt.call.class.Resumable {
		w.recordViolation("attempt %s, which is not resumable, was executed again at %s", attempt, run.server.id)
	}
	w.startedAttempts[attempt] = true
}
