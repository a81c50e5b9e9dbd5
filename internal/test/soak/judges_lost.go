package main

import (
	"fmt"
	"time"
)

const (
	// unplannedWindow is how long before a request no unplanned fault may have come for LOST to count.
	unplannedWindow = contactTime
	// lateWork is how long after a SIGTERM a replica's work begins to excuse a cut, the last sixth of the grace period, for requests
	// that were sent until earlyRequest after it.
	lateWork     = graceTime * 5 / 6
	earlyRequest = 3 * time.Second
	// lossSlack is how long after its last byte an unanswered request that was not passed on may end.
	lossSlack = 200 * time.Millisecond
	// deadlineSlack is how much before its deadline a request that was cut may have ended by it.
	deadlineSlack = 100 * time.Millisecond
)

// judgeLost finds requests that were cut around planned work at the data plane that took them: a SIGTERM or a SIGHUP. Requests that were
// cut without any fault count if there are more than tolerated.
func judgeLost(h *history) (violations []string) {
	var calm []string
	runs := h.runsByID()
	for _, request := range h.Requests {
		if request.Complete || request.SentAt == 0 || h.hasUnplanned(request.SentAt-unplannedWindow, request.EndedAt) {
			continue
		}
		ran := runs[request.ID]
		if request.reachedDeadline() || hasBrokenOff(ran) {
			continue
		}
		if len(ran) == 0 && request.EndedAt-request.SentAt <= lossSlack {
			continue
		}
		terminatedAt, terminated := h.plannedEnd(request)
		switch {
		case terminated && isExcused(request, ran, terminatedAt):
		case terminated:
			violations = append(violations, fmt.Sprintf("%s, sent to %s %s after its SIGTERM, was cut %s after it; passed on: %v",
				request.ID, request.Node, request.SentAt-terminatedAt, request.EndedAt-terminatedAt, len(ran) > 0))
		case h.isAroundHangup(request):
			violations = append(violations, fmt.Sprintf("%s was cut at %s after a SIGHUP", request.ID, request.Node))
		case len(ran) > 0:
			calm = append(calm, fmt.Sprintf("%s was cut at %s, %s after it was sent, without a fault", request.ID, request.Node,
				request.EndedAt-request.SentAt))
		}
	}
	return append(violations, beyondTolerated(calm)...)
}

// reachedDeadline reports whether the request ended by its client's deadline.
func (s sentRequest) reachedDeadline() bool {
	return s.EndedAt-s.HeadAt >= requestTimeout-deadlineSlack
}

// hasBrokenOff reports whether a replica broke a run off.
func hasBrokenOff(runs []execution) bool {
	for _, run := range runs {
		if run.Misbehaviour == breakOff || run.Misbehaviour == resetAtOnce {
			return true
		}
	}
	return false
}

// plannedEnd returns the SIGTERM around which the request ended.
func (h *history) plannedEnd(request sentRequest) (time.Duration, bool) {
	for _, event := range h.Events {
		isNear := request.EndedAt >= event.At && request.EndedAt <= event.At+graceTime+time.Second
		if event.Node == request.Node && event.Kind == faultTerm && isNear {
			return event.At, true
		}
	}
	return 0, false
}

// isAroundHangup reports whether the request was cut after a SIGHUP, and sent until a configuration would have been in force.
func (h *history) isAroundHangup(request sentRequest) bool {
	for _, event := range h.Events {
		isSentBy := request.SentAt <= event.At+configurationApplyTime
		if event.Node == request.Node && event.Kind == faultHangup && isSentBy && request.EndedAt > event.At {
			return true
		}
	}
	return false
}

// unplanned are the kinds of events that are no planned work.
var unplanned = map[faultKind]bool{faultKill: true, faultFreeze: true, eventThaw: true, eventRestart: true}

// hasUnplanned reports whether any process was killed, frozen, thawed or restarted between the moments.
func (h *history) hasUnplanned(from, to time.Duration) bool {
	for _, event := range h.Events {
		if unplanned[event.Kind] && event.At >= from && event.At <= to {
			return true
		}
	}
	return false
}

// isExcused reports whether a replica's work late in the grace period excuses the cut.
func isExcused(request sentRequest, runs []execution, terminatedAt time.Duration) bool {
	if len(runs) == 0 {
		return false
	}
	worksUntil := runs[len(runs)-1].EndedAt
	if worksUntil == 0 {
		worksUntil = request.EndedAt
	}
	return worksUntil >= terminatedAt+lateWork && request.SentAt <= terminatedAt+earlyRequest
}
