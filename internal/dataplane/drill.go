package dataplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// endedByNotice is the reason of a drill that the control plane has ended.
const endedByNotice = "told to"

// drillFollower takes part in drills that the control plane announces, and answers its questions for forecasts. It belongs
// to the goroutine of FleetState.Run, but for report.
type drillFollower struct {
	// answerForecast sends a forecast; nil where there is nothing to forecast with.
	answerForecast func(ctx context.Context, address string, question drill.ForecastRequest)
	// lastAnswered is the number of the last question by control-plane node.
	lastAnswered map[string]uint64
	// current is the drill in force, or nil.
	current *routing.Drill
	// lastEnded is the number of the last drill that ended; it is not followed again.
	lastEnded uint64
	// reported is what polls report, until the control plane knows of the end. Any goroutine may load it.
	reported atomic.Pointer[reportedDrill]
}

// reportedDrill is a drill and why it ended here, if it did.
type reportedDrill struct {
	drill     *routing.Drill
	endReason string
}

// report is what polls report of the drill, or nil. Any goroutine may call it.
func (d *drillFollower) report(now time.Time) *drill.Report {
	reported := d.reported.Load()
	if reported == nil {
		return nil
	}
	return reported.drill.Report(reported.endReason, now)
}

// handle answers the question of a response and follows its drill, and reports whether the drill in force changed. calls
// counts the goroutine that answers.
func (d *drillFollower) handle(ctx context.Context, calls *sync.WaitGroup, result *watchResult, evacuating bool) bool {
	if question := result.response.Forecast; question != nil {
		d.answerOnce(ctx, calls, result.address, *question)
	}
	notice, now := result.response.Drill, result.receivedAt
	if d.current == nil && notice == nil {
		return false
	}
	ended := d.end(d.endReason(now, evacuating))
	return d.follow(notice, now, evacuating) || ended
}

// answerOnce answers a question on a goroutine of its own, unless it was the last one answered at the address.
func (d *drillFollower) answerOnce(ctx context.Context, calls *sync.WaitGroup, address string, question drill.ForecastRequest) {
	if d.answerForecast == nil || d.lastAnswered[address] == question.Number {
		return
	}
	if d.lastAnswered == nil {
		d.lastAnswered = map[string]uint64{}
	}
	d.lastAnswered[address] = question.Number
	calls.Go(func() { d.answerForecast(ctx, address, question) })
}

// check ends the drill in force if it must end now, and reports whether it did.
func (d *drillFollower) check(now time.Time, evacuating bool) bool {
	return d.end(d.endReason(now, evacuating))
}

// endReason says why the drill in force must end now; empty if there is none or it goes on.
func (d *drillFollower) endReason(now time.Time, evacuating bool) string {
	if d.current == nil {
		return ""
	}
	if evacuating {
		return drill.EndedByEvacuation
	}
	return d.current.EndReason(now)
}

// end ends the drill in force if a reason is given, and reports whether it did.
func (d *drillFollower) end(reason string) bool {
	if reason == "" || d.current == nil {
		return false
	}
	logrus.WithFields(logrus.Fields{"number": d.current.Number, "reason": reason}).Info("drill ended on this node")
	d.reported.Store(&reportedDrill{drill: d.current, endReason: reason})
	d.lastEnded, d.current = d.current.Number, nil
	return true
}

// follow starts, goes on with or ends a drill as a notice says, and reports whether the drill in force changed.
func (d *drillFollower) follow(notice *drill.Notice, now time.Time, evacuating bool) bool {
	if notice == nil || notice.Number < d.lastEnded {
		return false
	}
	if !notice.Running {
		return d.followEnd(notice)
	}
	if notice.Number == d.lastEnded {
		return false
	}
	if d.current != nil && d.current.Number == notice.Number {
		d.current.KeepAlive(now, time.Duration(notice.RemainingMs)*time.Millisecond)
		return false
	}
	if d.current != nil && d.current.Number > notice.Number {
		return false
	}
	return d.start(notice, now, evacuating)
}

// followEnd ends the drill of a notice that it has ended, and stops reporting it.
func (d *drillFollower) followEnd(notice *drill.Notice) bool {
	ended := false
	if d.current != nil && notice.Number >= d.current.Number {
		ended = d.end(endedByNotice)
	}
	if reported := d.reported.Load(); reported != nil && notice.Number >= reported.drill.Number {
		d.reported.Store(nil)
	}
	d.lastEnded = max(d.lastEnded, notice.Number)
	return ended
}

func (d *drillFollower) start(notice *drill.Notice, now time.Time, evacuating bool) bool {
	d.current = routing.NewDrill(*notice, now, contactTimeout)
	if reason := d.endReason(now, evacuating); reason != "" {
		return d.end(reason)
	}
	d.reported.Store(&reportedDrill{drill: d.current})
	logrus.WithFields(logrus.Fields{
		"number":  notice.Number,
		"scope":   notice.Scope.String(),
		"share":   notice.Share,
		"left_ms": notice.RemainingMs,
	}).Info("drill joined")
	return true
}

// forecastTimeout is how long the answer to a question may take.
const forecastTimeout = 1500 * time.Millisecond

// answerForecast has the matcher forecast a loss and sends the answer to the control-plane node that asked.
func (n *Node) answerForecast(parent context.Context, address string, question drill.ForecastRequest) {
	ctx, cancel := context.WithTimeout(parent, forecastTimeout)
	defer cancel()
	answer, err := n.matcher.Forecast(ctx, drill.Loss{Scope: question.Scope, Regions: n.settings.Zones})
	if err == nil {
		answer.Number = question.Number
		answer.DataPlane = n.settings.NodeName
		answer.Zone = n.settings.Zone
		err = n.peers.Call(ctx, peer.MethodForecast, address, answer, nil)
	}
	logrus.WithError(err).WithFields(logrus.Fields{
		"scope":  question.Scope.String(),
		"routes": len(answer.Routes),
	}).Info("forecast answered")
}
