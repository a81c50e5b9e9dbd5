package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/drill"
	"ferryspar/internal/match"
)

// drillState is the drill that this data plane follows, and the questions that it has answered.
type drillState struct {
	answer func(address string, question drill.Question)
	// answered is the number of the last question by control plane.
	answered map[string]uint64
	drill    *match.Drill
	// last is the number of the last drill that ended; it is not followed again.
	last uint64
	// shown is what is reported, until the end is known at the control planes.
	shown atomic.Pointer[shownDrill]
}

// shownDrill is a drill and why it ended here, if it did.
type shownDrill struct {
	drill *match.Drill
	ended string
}

// report is what is reported of the drill, or nil. Any goroutine may call it.
func (r *drillState) report(now time.Time) *drill.Report {
	shown := r.shown.Load()
	if shown == nil {
		return nil
	}
	return shown.drill.Report(shown.ended, now)
}

// answerOnce answers a question of a control plane on a goroutine of its own, unless it was the last
// one answered there.
func (r *drillState) answerOnce(address string, question drill.Question) {
	if r.answer == nil || r.answered[address] == question.Number {
		return
	}
	if r.answered == nil {
		r.answered = map[string]uint64{}
	}
	r.answered[address] = question.Number
	go r.answer(address, question)
}

// rehearse answers a question and follows the drill of the news, and reports whether the fleet
// changed.
func (d *FleetState) rehearse(one heard) bool {
	held := &d.rehearsal
	if question := one.news.Question; question != nil {
		held.answerOnce(one.address, *question)
	}
	if held.drill == nil && one.news.Drill == nil {
		return false
	}
	ended := d.endDrill(d.drillEnd(one.at))
	return d.followDrill(one.news.Drill, one.at) || ended
}

// drillEnd says why the drill must end now, or nothing.
func (d *FleetState) drillEnd(now time.Time) string {
	held := &d.rehearsal
	if held.drill == nil {
		return ""
	}
	for _, state := range d.zones {
		if state.Drained {
			return drill.EndedByEvacuation
		}
	}
	return held.drill.EndReason(now)
}

// endDrill ends the drill here if a reason is given, and reports whether it did.
func (d *FleetState) endDrill(why string) bool {
	held := &d.rehearsal
	if why == "" || held.drill == nil {
		return false
	}
	logrus.WithFields(logrus.Fields{"number": held.drill.Number, "why": why}).Info("drill ended here")
	held.shown.Store(&shownDrill{held.drill, why})
	held.last, held.drill = held.drill.Number, nil
	return true
}

// followDrill begins, goes on with or ends a drill as control planes tell, and reports whether the
// fleet changed.
func (d *FleetState) followDrill(notice *drill.Notice, now time.Time) bool {
	held := &d.rehearsal
	if notice == nil || notice.Number < held.last {
		return false
	}
	if !notice.Running {
		ended := false
		if held.drill != nil && notice.Number >= held.drill.Number {
			ended = d.endDrill("told to")
		}
		if shown := held.shown.Load(); shown != nil && notice.Number >= shown.drill.Number {
			held.shown.Store(nil)
		}
		held.last = max(held.last, notice.Number)
		return ended
	}
	if notice.Number == held.last {
		return false
	}
	left := time.Duration(notice.LeftMs) * time.Millisecond
	if held.drill != nil && held.drill.Number == notice.Number {
		held.drill.KeepAlive(now, left)
		return false
	}
	if held.drill != nil && held.drill.Number > notice.Number {
		return false
	}
	held.drill = match.NewDrill(*notice, now, outOfTouch)
	if why := d.drillEnd(now); why != "" {
		return d.endDrill(why)
	}
	held.shown.Store(&shownDrill{held.drill, ""})
	logrus.WithFields(logrus.Fields{
		"number":  notice.Number,
		"scope":   notice.Scope.String(),
		"share":   notice.Share,
		"left_ms": notice.LeftMs,
	}).Info("drill followed")
	return true
}

// overseeDrill ends the drill without any news if its time is up or control planes are out of
// touch.
func (d *FleetState) overseeDrill() {
	if d.rehearsal.drill != nil && d.endDrill(d.drillEnd(d.clock())) {
		d.publish()
	}
}

// forecastBound is how long an answer to a question may take.
const forecastBound = 1500 * time.Millisecond

// answerForecast has the matcher forecast a loss and sends the answer to the control plane that
// asked.
func (d *Daemon) answerForecast(address string, question drill.Question) {
	ctx, cancel := context.WithTimeout(context.Background(), forecastBound)
	defer cancel()
	answer, err := d.matcher.Forecast(ctx, drill.Loss{Scope: question.Scope, Regions: d.settings.Zones})
	if err == nil {
		answer.Number = question.Number
		answer.Edge = d.settings.NodeName
		answer.Zone = d.settings.Zone
		err = d.peers.Ask(ctx, "forecast", address, answer, nil)
	}
	logrus.WithFields(logrus.Fields{
		"scope":   question.Scope.String(),
		"routes":  len(answer.Routes),
		"problem": err,
	}).Info("forecast answered")
}
