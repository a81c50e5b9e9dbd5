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

// endedByNotice is the end reason of a drill that the control plane has ended.
const endedByNotice = "told to"

// drillFollower takes part in the drills that the control plane announces and responds to its forecast requests. Only the
// goroutine of FleetState.Run uses it, except for report.
type drillFollower struct {
	// answerForecast sends a forecast; nil if forecasts are not supported.
	answerForecast func(ctx context.Context, address string, request drill.ForecastRequest)
	// lastForecast is the number of the last forecast request answered, by address of the control-plane node.
	lastForecast map[string]uint64
	// current is the drill in progress, or nil.
	current *routing.Drill
	// lastEnded is the number of the last drill that ended; it is not joined again.
	lastEnded uint64
	// reported is the drill that polls report until the control plane knows that it has ended. Any goroutine may load it.
	reported atomic.Pointer[reportedDrill]
}

// reportedDrill is a drill with the reason why it ended on this node, if it has.
type reportedDrill struct {
	drill     *routing.Drill
	endReason string
}

// report returns the report on the drill for polls, or nil. Any goroutine may call it.
func (d *drillFollower) report(now time.Time) *drill.Report {
	reported := d.reported.Load()
	if reported == nil {
		return nil
	}
	return reported.drill.Report(reported.endReason, now)
}

// handle responds to the forecast request of a response, if any, and applies its drill notice. It reports whether the current
// drill changed. Forecasts are sent on a goroutine that is added to calls.
func (d *drillFollower) handle(ctx context.Context, calls *sync.WaitGroup, result *watchResult, evacuating bool) bool {
	if request := result.response.Forecast; request != nil {
		d.answerForecastOnce(ctx, calls, result.address, *request)
	}
	notice, now := result.response.Drill, result.receivedAt
	if d.current == nil && notice == nil {
		return false
	}
	ended := d.end(d.endReason(now, evacuating))
	return d.applyNotice(notice, now, evacuating) || ended
}

// answerForecastOnce answers a forecast request on a new goroutine, unless it is the last one answered for the address.
func (d *drillFollower) answerForecastOnce(ctx context.Context, calls *sync.WaitGroup, address string, request drill.ForecastRequest) {
	if d.answerForecast == nil || d.lastForecast[address] == request.Number {
		return
	}
	if d.lastForecast == nil {
		d.lastForecast = map[string]uint64{}
	}
	d.lastForecast[address] = request.Number
	calls.Go(func() { d.answerForecast(ctx, address, request) })
}

// check ends the current drill if it must end now, and reports whether it did.
func (d *drillFollower) check(now time.Time, evacuating bool) bool {
	return d.end(d.endReason(now, evacuating))
}

// endReason returns why the current drill must end now, or "" if there is none or it continues.
func (d *drillFollower) endReason(now time.Time, evacuating bool) string {
	if d.current == nil {
		return ""
	}
	if evacuating {
		return drill.EndedByEvacuation
	}
	return d.current.EndReason(now)
}

// end ends the current drill if the reason is not empty, and reports whether it did.
func (d *drillFollower) end(reason string) bool {
	if reason == "" || d.current == nil {
		return false
	}
	logrus.WithFields(logrus.Fields{"number": d.current.Number, "reason": reason}).Info("drill ended on this node")
	d.reported.Store(&reportedDrill{drill: d.current, endReason: reason})
	d.lastEnded, d.current = d.current.Number, nil
	return true
}

// applyNotice starts, continues or ends a drill as the notice says, and reports whether the current drill changed.
func (d *drillFollower) applyNotice(notice *drill.Notice, now time.Time, evacuating bool) bool {
	if notice == nil || notice.Number < d.lastEnded {
		return false
	}
	if !notice.Running {
		return d.applyEndNotice(notice)
	}
	if notice.Number == d.lastEnded {
		return false
	}
	if d.current != nil && d.current.Number == notice.Number {
		d.current.KeepAlive(now, time.Duration(notice.LeftMs)*time.Millisecond)
		return false
	}
	if d.current != nil && d.current.Number > notice.Number {
		return false
	}
	return d.start(notice, now, evacuating)
}

// applyEndNotice ends the drill that the notice declares ended, and stops reporting it.
func (d *drillFollower) applyEndNotice(notice *drill.Notice) bool {
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
		"left_ms": notice.LeftMs,
	}).Info("drill joined")
	return true
}

// forecastTimeout limits the computation and sending of a forecast.
const forecastTimeout = 1500 * time.Millisecond

// answerForecast has the matcher forecast the effects of a loss and sends the result to the control-plane node that asked.
func (n *Node) answerForecast(parent context.Context, address string, request drill.ForecastRequest) {
	ctx, cancel := context.WithTimeout(parent, forecastTimeout)
	defer cancel()
	forecast, err := n.matcher.Forecast(ctx, drill.Loss{Scope: request.Scope, Regions: n.settings.Zones})
	if err == nil {
		forecast.Number = request.Number
		forecast.DataPlane = n.settings.NodeName
		forecast.Zone = n.settings.Zone
		err = n.peers.Call(ctx, peer.MethodForecast, address, forecast, nil)
	}
	logrus.WithError(err).WithFields(logrus.Fields{
		"scope":  request.Scope.String(),
		"routes": len(forecast.Routes),
	}).Info("forecast answered")
}
