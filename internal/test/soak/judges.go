package main

import (
	"fmt"
	"strings"
	"time"
)

// judge returns the violations of one rule in a history.
type judge func(h *history) []string

// judges lists the judges by the name of their rule.
var judges = []struct {
	rule  string
	judge judge
}{
	{"UNASKED", judgeUnasked},
	{"TWICE", judgeTwice},
	{"REFUSED", judgeRefused},
	{"MIXED", judgeMixed},
	{"LOST", judgeLost},
	{"CONFIG", judgeConfiguration},
	{"PANIC", judgePanics},
}

// requestsByID indexes the requests that clients sent.
func (h *history) requestsByID() map[string]sentRequest {
	byID := map[string]sentRequest{}
	for _, request := range h.Requests {
		byID[request.ID] = request
	}
	return byID
}

// judgeUnasked finds runs of requests that no client sent, or whose body was changed.
func judgeUnasked(h *history) (violations []string) {
	sent := h.requestsByID()
	for _, run := range h.Executions {
		if _, known := sent[run.ID]; !known {
			violations = append(violations, fmt.Sprintf("%s ran %s, which no client sent", run.Replica, run.ID))
		} else if run.Body != promptOf(run.ID) {
			violations = append(violations, fmt.Sprintf("%s ran %s with the body %q", run.Replica, run.ID, run.Body))
		}
	}
	return violations
}

// judgeTwice finds requests that ran more than once; no request of a run may be repeated.
func judgeTwice(h *history) (violations []string) {
	runs := map[string]int{}
	for _, run := range h.Executions {
		runs[run.ID]++
		if runs[run.ID] == 2 {
			violations = append(violations, run.ID+" ran twice")
		}
	}
	return violations
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// judgeRefused finds requests that ran although their clients were promised that they had not.
func judgeRefused(h *history) (violations []string) {
	sent := h.requestsByID()
	for _, run := range h.Executions {
		if status := sent[run.ID].Status; promises[status] {
			violations = append(violations, fmt.Sprintf("%s was answered with %d, but ran at %s", run.ID, status, run.Replica))
		}
	}
	return violations
}

// judgeMixed finds successes that are not the whole response of a replica to that request.
func judgeMixed(h *history) (violations []string) {
	for _, request := range h.Requests {
		whole := streamOf(request.ID)
		switch {
		case request.Status != 200:
		case request.Seal != sealOf(request.ID):
			violations = append(violations, fmt.Sprintf("%s was answered with the seal %q", request.ID, request.Seal))
		case request.Complete && request.Body != whole, !strings.HasPrefix(whole, request.Body):
			violations = append(violations, fmt.Sprintf("%s was answered with other bytes than its replica's", request.ID))
		}
	}
	return violations
}

const (
	// unplannedWindow is how long before a request no unplanned fault may have come for LOST to count (contactMs).
	unplannedWindow = 3 * time.Second
	// lateWork is how long after a SIGTERM a replica's work begins to excuse a cut, the last sixth of the grace period, for requests
	// that were sent until earlyRequest after it.
	lateWork     = graceTime * 5 / 6
	earlyRequest = 3 * time.Second
	// lossSlack is how long after its last byte an unanswered request that was not passed on may end.
	lossSlack = 200 * time.Millisecond
)

// judgeLost finds requests that were cut around a SIGTERM of the data plane that took them.
func judgeLost(h *history) (violations []string) {
	runs := map[string]execution{}
	for _, run := range h.Executions {
		runs[run.ID] = run
	}
	for _, request := range h.Requests {
		if request.Complete || request.SentAt == 0 {
			continue
		}
		terminatedAt, found := h.plannedEnd(request)
		if !found || h.hasUnplanned(request.SentAt-unplannedWindow, request.EndedAt) {
			continue
		}
		run, passedOn := runs[request.ID]
		if passedOn && isExcused(request, run, terminatedAt) || !passedOn && request.EndedAt-request.SentAt <= lossSlack {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s, sent to %s %s after its SIGTERM, was cut %s after it; passed on: %v",
			request.ID, request.Node, request.SentAt-terminatedAt, request.EndedAt-terminatedAt, passedOn))
	}
	return violations
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
func isExcused(request sentRequest, run execution, terminatedAt time.Duration) bool {
	worksUntil := run.EndedAt
	if worksUntil == 0 {
		worksUntil = request.EndedAt
	}
	return worksUntil >= terminatedAt+lateWork && request.SentAt <= terminatedAt+earlyRequest
}

// judgeConfiguration finds acknowledged configurations that are not found at the end.
func judgeConfiguration(h *history) (violations []string) {
	for _, acknowledged := range h.Acknowledgements {
		if acknowledged.Revision > h.FinalRevision {
			violations = append(violations, fmt.Sprintf("revision %d was acknowledged, %d is read at the end", acknowledged.Revision,
				h.FinalRevision))
		}
	}
	return violations
}

func judgePanics(h *history) []string { return h.Panics }

// violations returns all violations, with the names of their rules.
func (h *history) violations() (all []string) {
	for _, entry := range judges {
		for _, violation := range entry.judge(h) {
			all = append(all, entry.rule+": "+violation)
		}
	}
	return all
}
