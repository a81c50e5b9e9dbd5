package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"ferryspar/internal/lease"
)

const (
	// warmUp is the time before the first trouble, calmTime that after the last one, within which all must be loaded.
	warmUp   = 8 * time.Second
	calmTime = 40 * time.Second
)

// play plays a schedule to its end or until a rule is broken.
func play(plan schedule, allowed bounds, planted variant, verbose bool) *world {
	w := &world{
		engine: newEngine(plan.seed), bounds: allowed, variant: planted, fencing: plan.fencing, verbose: verbose,
		register: &register{}, links: map[[2]string]*link{}, table: newTable(1, modelNames),
		answers: map[int]int{}, lateAnswers: map[int]int{},
	}
	held := [][]string{{"m1", "m3"}, {"m2", "m4"}}
	for index := range plan.servers {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-%d", index+1), held[index]...))
	}
	for index := range plan.daemons {
		w.daemons = append(w.daemons, &daemon{world: w, name: fmt.Sprintf("daemon-%d", index+1)})
	}
	for index, one := range w.daemons {
		w.after(time.Duration(index)*mostPatience, one.start)
	}
	w.want(plan.wanted)
	at := warmUp
	w.troublesEnd = start.Add(warmUp)
	for _, next := range plan.troubles {
		at += next.after
		w.after(at, func() { w.apply(next) })
		if end := start.Add(at + next.pause); end.After(w.troublesEnd) {
			w.troublesEnd = end
		}
	}
	w.runUntil(w.troublesEnd, w.failed)
	for end := w.troublesEnd.Add(calmTime); !w.failed() && len(w.missing()) > 0 && w.now.Before(end); {
		w.runUntil(w.now.Add(time.Second), w.failed)
		w.now = maxTime(w.now, w.troublesEnd)
		if w.queue[0].at.After(w.now) {
			w.now = w.queue[0].at
		}
	}
	if !w.failed() {
		w.judgeEnd()
	}
	return w
}

func maxTime(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// holder is the daemon that holds the lease, or else the one with a number.
func (w *world) holder(number int) *daemon {
	if owner := w.register.owner; owner != nil {
		return owner
	}
	return w.daemons[number%len(w.daemons)]
}

// apply does a trouble.
func (w *world) apply(next trouble) {
	w.log("%s", next)
	daemon, server, holder := w.daemons[next.daemon%len(w.daemons)], w.servers[next.server%len(w.servers)], w.holder(next.daemon)
	if len(next.names) > 0 && next.kind != configureOther {
		w.want(next.names)
	}
	switch next.kind {
	case killHolder:
		w.killFor(holder, next.pause)
	case killAny:
		w.killFor(daemon, next.pause)
	case freezeHolder:
		holder.freeze(next.pause)
	case freezeDeciding:
		holder.freezeNext = next.pause
	case cutStore:
		holder.storeCutUntil = w.now.Add(next.pause)
	case cutRequests:
		w.cut(holder, server, next.pause)
	case loseAnswers:
		w.link(holder, server).answersUntil = w.now.Add(next.pause)
	case freezeServer:
		server.freeze(next.pause)
	case restartSame:
		w.restart(server, server.id, next.pause)
	case restartOther:
		w.restart(server, server.id+"'", next.pause)
	case holdOrder, loseOrderAnswer, killOrdering, freezeOrdering, restartOrdered, freezeOrdered:
		w.aimed = append(w.aimed, next)
	case configureOther:
		w.configure(next.names)
	case rushedSeizure:
		w.rush(daemon, next.pause)
	}
}

// applyAimed does the troubles that were to happen with the next order, as it is sent.
func (w *world) applyAimed(from *daemon, to *server) {
	aimed := w.aimed
	w.aimed = nil
	for _, next := range aimed {
		w.log("now: %s", next)
		switch next.kind {
		case holdOrder:
			w.cut(from, to, next.pause)
		case loseOrderAnswer:
			w.link(from, to).answersUntil = w.now.Add(next.pause)
		case killOrdering:
			w.after(w.between(0, slowest), func() { w.killFor(from, next.pause) })
		case freezeOrdering:
			w.after(w.between(0, slowest), func() { from.freeze(next.pause) })
		case freezeOrdered:
			to.freeze(next.pause)
		case restartOrdered:
			w.after(w.between(0, callBound), func() { w.restart(to, to.id, next.pause) })
		}
	}
}

func (w *world) killFor(one *daemon, pause time.Duration) {
	one.kill()
	w.after(pause, one.start)
}

func (w *world) restart(one *server, id string, pause time.Duration) {
	if !one.down {
		one.restart(id, pause)
	}
}

// rush has a daemon take the lease and act at once beside the holder, as after a store that has lost what it knew.
func (w *world) rush(one *daemon, pause time.Duration) {
	if !one.alive || one.frozen || w.register.owner == one {
		return
	}
	var last lease.Record
	_ = json.Unmarshal(w.register.value, &last)
	record := lease.Record{Holder: one.name, Address: one.name, Fence: last.Fence + 1}
	w.register.value, _ = json.Marshal(record)
	w.register.split = w.now.Add(pause)
	w.register.holder, w.register.owner, w.register.life = one.name, one, one.life
	one.hold = &lease.Grant{Record: record, GrantedAt: w.now, ExpiresAt: w.now.Add(grantLength), EffectiveFrom: w.now}
}
