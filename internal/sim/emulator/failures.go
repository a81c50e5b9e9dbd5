package emulator

import (
	"slices"
	"strings"
	"time"

	"ferryspar/internal/routing"
)

// scheduleFailures schedules the scenario's losses, crashes and slowdowns.
func (w *World) scheduleFailures() {
	at := func(offset float64, act func()) { w.events.At(w.began.Add(seconds(offset)), act) }
	for _, loss := range w.scenario.Losses {
		zones := w.zonesOf(loss)
		at(loss.AtS, func() { w.loseZones(zones, loss) })
		if loss.BackS > 0 {
			at(loss.BackS, func() { w.restoreZones(zones) })
		}
	}
	for _, crash := range w.scenario.Crashes {
		one := w.machines[crash.Replica-1]
		at(crash.AtS, func() { w.crash(one, seconds(crash.RestartS)) })
	}
	for _, slow := range w.scenario.Slowdowns {
		one := w.machines[slow.Replica-1]
		at(slow.AtS, func() { one.slowdown = slow.Factor })
		at(slow.BackS, func() { one.slowdown = 1 })
	}
}

// zonesOf lists the indices of the zones that a loss covers.
func (w *World) zonesOf(loss Loss) []int {
	var zones []int
	for index, zone := range w.scenario.Zones {
		if zone.Name == loss.Zone || zone.Region == loss.Region && loss.Region != "" {
			zones = append(zones, index)
		}
	}
	return zones
}

// loseZones takes the zones down. A closed loss ends connections at once; otherwise the lost side
// just falls silent.
func (w *World) loseZones(zones []int, loss Loss) {
	w.noteLoss(zones, loss)
	for _, one := range w.edges {
		if !one.alive || !slices.Contains(zones, one.zone) {
			continue
		}
		one.alive = false
		w.noticeLater(one, one.life)
	}
	for _, zone := range zones {
		w.lost[zone] = true
	}
	for _, one := range w.machines {
		if one.current != nil && slices.Contains(zones, one.zone) {
			w.kill(one.current, !loss.Closed)
		}
	}
	if loss.Closed {
		w.cutClients(zones)
	}
	if slices.Contains(zones, w.control.zone) {
		w.control.fail()
	}
}

// noticeLater routes clients elsewhere once the platform has noticed the edge's death.
func (w *World) noticeLater(one *edge, life int) {
	w.events.After(seconds(w.scenario.Platform.NoticeS), func() {
		if !one.alive && one.life == life {
			one.routable = false
		}
	})
}

// cutClients ends the connections of the clients whose edge has died.
func (w *World) cutClients(zones []int) {
	for _, one := range w.calls {
		if one.ended || one.attempt == nil || !slices.Contains(zones, one.attempt.edge.zone) || one.attempt.edge.alive {
			continue
		}
		held := one.attempt
		held.toClient(func() { one.onBroken(held.try) })
	}
}

// kill ends a server. A dark one falls silent; otherwise its connections break.
func (w *World) kill(one *server, dark bool) {
	if one.dead {
		return
	}
	one.dead, one.dark = true, dark
	one.machine.current = nil
	w.unlistLater(one)
	if dark {
		return
	}
	for _, held := range append(slices.Clone(one.queue), one.running...) {
		held.attempt.edge.afterLink(one.machine.zone, func() { held.attempt.onOutcome(held.forwardNumber, routing.OutcomeTruncated) })
	}
}

// crash kills a machine's server and starts a new one after the given time, if it is above 0.
func (w *World) crash(one *machine, restart time.Duration) {
	if one.current == nil {
		return
	}
	w.kill(one.current, false)
	if restart > 0 {
		w.events.After(restart, func() {
			if one.current == nil && !w.lost[one.zone] {
				w.listLater(w.start(one))
			}
		})
	}
}

// restoreZones brings the zones back, with empty memories.
func (w *World) restoreZones(zones []int) {
	for _, zone := range zones {
		w.lost[zone] = false
	}
	for _, one := range w.machines {
		if slices.Contains(zones, one.zone) && one.current == nil {
			w.listLater(w.start(one))
		}
	}
	for _, one := range w.edges {
		if !slices.Contains(zones, one.zone) || one.alive {
			continue
		}
		one.start()
		life := one.life
		w.events.After(seconds(w.scenario.Platform.NoticeS), func() {
			if one.alive && one.life == life {
				one.routable = true
			}
		})
	}
}

// checkServer checks that a server keeps to its slots and its memory.
func (w *World) checkServer(s *server) {
	if len(s.running) > w.scenario.Replica.Slots {
		w.noteViolation("%s runs %d in %d slots", s.id, len(s.running), w.scenario.Replica.Slots)
	}
	if s.cache.reserved+s.cache.cached > s.cache.total+1e-6 || s.cache.reserved < -1e-6 || s.cache.cached < -1e-6 {
		w.noteViolation("%s holds %.1f reserved and %.1f kept of %.1f tokens", s.id, s.cache.reserved, s.cache.cached, s.cache.total)
	}
}

// checkRoom checks that a load finds room on the server.
func (w *World) checkRoom(s *server, loading string) {
	models := 0
	for reference := range s.held {
		if !strings.Contains(reference, "/") {
			models++
		}
	}
	if !strings.Contains(loading, "/") && models >= w.scenario.Models.PerReplica {
		w.noteViolation("%s is to load %s beyond its room", s.id, loading)
	}
}

// checkBegin checks that a request that may run once begins only once.
func (w *World) checkBegin(one *execution) {
	attempt := one.attempt.request.Attempt
	if w.startedAttempts[attempt] && !one.attempt.call.class.Resumable {
		w.noteViolation("attempt %s, which may run once, began again at %s", attempt, one.server.id)
	}
	w.startedAttempts[attempt] = true
}
