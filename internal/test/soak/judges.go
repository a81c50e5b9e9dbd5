package main

import (
	"fmt"
	"strings"
)

// judge returns the violations of one rule in a history.
type judge func(h *history) []string

// judges lists the judges by the name of their rule, with what they check.
var judges = []struct {
	rule, checks string
	judge        judge
}{
	{"UNASKED", "no replica runs what no client sent, or another body", judgeUnasked},
	{"TWICE", "no request that may not be repeated runs more than once", judgeTwice},
	{"REFUSED", "no such request runs that is answered with 408, 421, 429 or 503", judgeRefused},
	{"MIXED", "a success is the whole response of a replica to that request, or visibly cut", judgeMixed},
	{"BUDGET", "no request runs more often than its route's retry count (three are tolerated)", judgeRetries},
	{"LOST", "no response is cut around a SIGTERM or SIGHUP but as the rule excuses, nor without a fault (three are tolerated)", judgeLost},
	{"CONFIG", "the newest acknowledged configuration is read at the end", judgeConfiguration},
	{"CONFIG", "no read shows a configuration older than one acknowledged configApplyMs before", judgeReads},
	{"EVAC", "nothing reaches an evacuated zone evacuateMs after its acknowledgement, from data planes in touch", judgeEvacuations},
	{"COORDINATION", "the applications' locks, numbers, keys and watches keep their promises", judgeCoordination},
	{"MEMORY", "no process exceeds its memory or its descriptors", judgeUsage},
	{"PANIC", "no process panics or reports a data race", judgePanics},
}

// tolerated is how many requests may break a rule that names more than three.
const tolerated = 3

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

// runsByID indexes the runs by the request.
func (h *history) runsByID() map[string][]execution {
	runs := map[string][]execution{}
	for _, run := range h.Executions {
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// judgeTwice finds requests that ran more than once though they may not be repeated.
func judgeTwice(h *history) (violations []string) {
	sent := h.requestsByID()
	for id, runs := range h.runsByID() {
		if len(runs) > 1 && !routeNamed(sent[id].Route).repeatable {
			violations = append(violations, fmt.Sprintf("%s ran %d times", id, len(runs)))
		}
	}
	return violations
}

// judgeRetries finds requests that ran more often than the retry count of their route allows, if there are more than tolerated.
func judgeRetries(h *history) (violations []string) {
	sent := h.requestsByID()
	for id, runs := range h.runsByID() {
		if to := routeNamed(sent[id].Route); to.repeatable && len(runs) > to.retryCount {
			violations = append(violations, fmt.Sprintf("%s ran %d times, %d are allowed on its route", id, len(runs), to.retryCount))
		}
	}
	return beyondTolerated(violations)
}

// beyondTolerated returns the violations if there are more than tolerated.
func beyondTolerated(violations []string) []string {
	if len(violations) <= tolerated {
		return nil
	}
	return violations
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// judgeRefused finds requests that may not be repeated and ran although their clients were promised that they had not.
func judgeRefused(h *history) (violations []string) {
	sent := h.requestsByID()
	for _, run := range h.Executions {
		request := sent[run.ID]
		if status := request.Status; promises[status] && !routeNamed(request.Route).repeatable {
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

func judgeCoordination(h *history) []string { return h.Coordination }

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
