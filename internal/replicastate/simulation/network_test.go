package simulation

import (
	"net/http"
	"time"

	"ferryspar/internal/replicastate"
)

const (
	callBound    = 700 * time.Millisecond
	quickest     = time.Millisecond
	slowest      = 30 * time.Millisecond
	noAnswer     = -1
	unreached    = -2
	fastRefusal  = 5 * time.Millisecond
	doubledAfter = 2 * time.Second
)

// link is the way between a daemon and a server.
type link struct {
	heldUntil    time.Time // requests are held up until then
	answersUntil time.Time // answers are lost until then
	held         []func()
}

// call is one request of a daemon to a server.
type call struct {
	ended   bool
	endedAt time.Time
}

func (w *world) link(from *daemon, to *server) *link {
	key := [2]string{from.name, to.id}
	if w.links[key] == nil {
		w.links[key] = &link{}
	}
	return w.links[key]
}

// cut holds up requests between a daemon and a server for a while.
func (w *world) cut(from *daemon, to *server, pause time.Duration) {
	way := w.link(from, to)
	until := w.now.Add(pause)
	if until.After(way.heldUntil) {
		way.heldUntil = until
	}
	w.after(pause, func() {
		if w.now.Before(way.heldUntil) {
			return
		}
		released := way.held
		way.held = nil
		for _, arrive := range released {
			w.after(w.between(0, slowest), arrive)
		}
	})
}

// send carries an order to a server; done gets the status, noAnswer for none or unreached. Held up, it still arrives when the cut
// ends, also after its call was given up, unless that is longer ago than the bounds of the play allow.
func (w *world) send(from *daemon, to *server, order instruction, done func(status int)) {
	one := &call{}
	finish := from.ending(one, done)
	w.applyAimed(from, to)
	way := w.link(from, to)
	life := to.life
	deliver := func() {
		if one.ended && !w.mayArrive(one, to.life != life) {
			return
		}
		if to.down {
			from.after(fastRefusal, func() { finish(unreached) })
			return
		}
		order.released = order.released || w.now.Before(to.frozen)
		to.whenAwake(func() {
			order.late = one.ended
			status := to.take(order)
			if w.now.Before(way.answersUntil) {
				return
			}
			from.after(w.between(quickest, slowest), func() { finish(status) })
		})
	}
	w.after(w.between(quickest, slowest), func() {
		if !w.now.Before(way.heldUntil) {
			deliver()
			return
		}
		order.released = true
		way.held = append(way.held, deliver)
		if w.bounds.beyond {
			way.held = append(way.held, func() { w.after(w.between(0, doubledAfter), deliver) })
		}
	})
	from.after(callBound, func() { finish(noAnswer) })
	from.calls = append(from.calls, one)
}

// mayArrive tells whether the request of a call that has ended may still arrive.
func (w *world) mayArrive(one *call, restarted bool) bool {
	if w.bounds.beyond {
		return true
	}
	if restarted && !w.bounds.survivesRestart {
		return false
	}
	return w.now.Sub(one.endedAt) < orderSettle && w.random.IntN(4) > 0
}

// ask carries a question for a report to a server; done gets nil if no report comes.
func (w *world) ask(from *daemon, to *server, id string, done func(report *replicastate.Report)) {
	one := &call{}
	var report *replicastate.Report
	finish := from.ending(one, func(status int) {
		if status != http.StatusOK {
			report = nil
		}
		done(report)
	})
	way := w.link(from, to)
	w.after(w.between(quickest, slowest), func() {
		if w.now.Before(way.heldUntil) || w.now.Before(way.answersUntil) {
			return
		}
		if to.down || to.id != id {
			from.after(fastRefusal, func() { finish(noAnswer) })
			return
		}
		to.whenAwake(func() {
			shown := to.reportOf(w.between(0, longestLag))
			report = &shown
			from.after(w.answerTime(), func() { finish(http.StatusOK) })
		})
	})
	from.after(callBound, func() { finish(noAnswer) })
}

// answerTime is how long the answer to a question takes: now and then nearly as long as the call may.
func (w *world) answerTime() time.Duration {
	if w.random.IntN(8) == 0 {
		return w.between(slowest, callBound-slowest)
	}
	return w.between(quickest, slowest)
}

// ending ends a call once.
func (d *daemon) ending(one *call, done func(status int)) func(status int) {
	return func(status int) {
		if one.ended {
			return
		}
		one.ended, one.endedAt = true, d.world.now
		done(status)
	}
}
