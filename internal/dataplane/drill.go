package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// drillState is the drill that this data plane follows, and the questions that it has answered.
type drillState struct {
	answerForecast func(address string, question drill.ForecastRequest)
	// subscribeResult is the number of the last question by control plane.
	answeredNumbers map[string]uint64
	drill           *routing.Drill
	// last is the number of the last drill that ended; it is not followed again.
	lastEnded uint64
	// shown is what is reported, until the end is known at the control planes.
	reported atomic.Pointer[reportedDrill]
}

// reportedDrill is a drill and why it ended here, if it did.
type reportedDrill struct {
	drill     *routing.Drill
	endReason string
}

// report is what is reported of the drill, or nil. Any goroutine may call it.
func (d *drillState) report(now time.Time) *drill.Report {
	reported := d.reported.Load()
	if reported == nil {
		return nil
	}
	return reported.drill.Report(reported.endReason, now)
}

// answerOnce answers a question of a control plane on a goroutine of its own, unless it was the last
// one answered there.
func (d *drillState) answerOnce(address string, question drill.ForecastRequest) {
	if d.answerForecast == nil || d.answeredNumbers[address] == question.Number {
		return
	}
	if d.answeredNumbers == nil {
		d.answeredNumbers = map[string]uint64{}
	}
	d.answeredNumbers[address] = question.Number
	go d.answerForecast(address, question)
}

// rehearse answers a question and follows the drill of the news, and reports whether the fleet
// changed.
func (s *FleetState) handleDrill(result watchResult) bool {
	drills := &s.drills
	if question := result.response.Forecast; question != nil {
		drills.answerOnce(result.address, *question)
	}
	if drills.drill == nil && result.response.Drill == nil {
		return false
	}
	ended := s.endDrill(s.drillEndReason(result.receivedAt))
	return s.followDrill(result.response.Drill, result.receivedAt) || ended
}

// drillEndReason says why the drill must end now, or nothing.
func (s *FleetState) drillEndReason(now time.Time) string {
	drills := &s.drills
	if drills.drill == nil {
		return ""
	}
	for _, state := range s.zones {
		if state.Drained {
			return drill.EndedByEvacuation
		}
	}
	return drills.drill.EndReason(now)
}

// endDrill ends the drill here if a reason is given, and reports whether it did.
func (s *FleetState) endDrill(reason string) bool {
	drills := &s.drills
	if reason == "" || drills.drill == nil {
		return false
	}
	logrus.WithFields(logrus.Fields{"number": drills.drill.Number, "why": reason}).Info("drill ended here")
	drills.reported.Store(&reportedDrill{drills.drill, reason})
	drills.lastEnded, drills.drill = drills.drill.Number, nil
	return true
}

// followDrill begins, goes on with or ends a drill as control planes tell, and reports whether the
// fleet changed.
func (s *FleetState) followDrill(notice *drill.Notice, now time.Time) bool {
	drills := &s.drills
	if notice == nil || notice.Number < drills.lastEnded {
		return false
	}
	if !notice.Running {
		ended := false
		if drills.drill != nil && notice.Number >= drills.drill.Number {
			ended = s.endDrill("told to")
		}
		if reported := drills.reported.Load(); reported != nil && notice.Number >= reported.drill.Number {
			drills.reported.Store(nil)
		}
		drills.lastEnded = max(drills.lastEnded, notice.Number)
		return ended
	}
	if notice.Number == drills.lastEnded {
		return false
	}
	left := time.Duration(notice.LeftMs) * time.Millisecond
	if drills.drill != nil && drills.drill.Number == notice.Number {
		drills.drill.KeepAlive(now, left)
		return false
	}
	if drills.drill != nil && drills.drill.Number > notice.Number {
		return false
	}
	drills.drill = routing.NewDrill(*notice, now, contactTimeout)
	if reason := s.drillEndReason(now); reason != "" {
		return s.endDrill(reason)
	}
	drills.reported.Store(&reportedDrill{drills.drill, ""})
	logrus.WithFields(logrus.Fields{
		"number":  notice.Number,
		"scope":   notice.Scope.String(),
		"share":   notice.Share,
		"left_ms": notice.LeftMs,
	}).Info("drill followed")
	return true
}

// checkDrill ends the drill without any news if its time is up or control planes are out of
// touch.
func (s *FleetState) checkDrill() {
	if s.drills.drill != nil && s.endDrill(s.drillEndReason(s.clock())) {
		s.publish()
	}
}

// forecastTimeout is how long an answer to a question may take.
const forecastTimeout = 1500 * time.Millisecond

// answerForecast has the matcher forecast a loss and sends the answer to the control plane that
// asked.
func (n *Node) answerForecast(address string, question drill.ForecastRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), forecastTimeout)
	defer cancel()
	answer, err := n.matcher.Forecast(ctx, drill.Loss{Scope: question.Scope, Regions: n.settings.Zones})
	if err == nil {
		answer.Number = question.Number
		answer.DataPlane = n.settings.NodeName
		answer.Zone = n.settings.Zone
		err = n.peers.Call(ctx, peer.MethodForecast, address, answer, nil)
	}
	logrus.WithFields(logrus.Fields{
		"scope":   question.Scope.String(),
		"routes":  len(answer.Routes),
		"problem": err,
	}).Info("forecast answered")
}
