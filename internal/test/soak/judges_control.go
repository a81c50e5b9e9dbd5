package main

import (
	"fmt"
	"time"
)

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

// judgeReads finds reads of the configuration that show a revision older than one acknowledged long enough before.
func judgeReads(h *history) (violations []string) {
	for _, read := range h.Reads {
		for _, acknowledged := range h.Acknowledgements {
			age := read.SentAt - acknowledged.At
			if age <= configurationApplyTime || acknowledged.Revision <= read.Revision {
				continue
			}
			violations = append(violations, fmt.Sprintf("%s read revision %d, %s after the acknowledgement of %d", read.Node, read.Revision,
				age, acknowledged.Revision))
			break
		}
	}
	return violations
}

// judgeEvacuations finds requests that reached replicas of a zone long enough after the acknowledgement of its evacuation, from data
// planes in touch.
func judgeEvacuations(h *history) (violations []string) {
	sent := h.requestsByID()
	for _, run := range h.Executions {
		for _, evacuated := range h.Evacuations {
			isWithin := run.StartedAt > evacuated.AcknowledgedAt+evacuateTime && run.StartedAt < evacuated.EndedAt
			if !isWithin || run.Zone != evacuated.Zone || !h.isInTouch(sent[run.ID].Node, run.StartedAt) {
				continue
			}
			age := run.StartedAt - evacuated.AcknowledgedAt
			violations = append(violations, fmt.Sprintf("%s reached %s, %s after the evacuation of %s was acknowledged", run.ID,
				run.Replica, age, run.Zone))
		}
	}
	return violations
}

// isInTouch reports whether the data plane and the control planes ran without a fault long enough for the data plane to count as in touch.
func (h *history) isInTouch(node string, at time.Duration) bool {
	last := map[string]nodeEvent{}
	for _, event := range h.Events {
		isRelevant := event.Node == node || isControl(event.Node)
		if isRelevant && event.Kind != faultHangup && event.At <= at && event.At >= last[event.Node].At {
			last[event.Node] = event
		}
	}
	for _, event := range last {
		calm := contactTime
		if isControl(event.Node) {
			calm = 2 * contactTime
		}
		if interrupts[event.Kind] || at-event.At <= calm {
			return false
		}
	}
	return true
}

// interrupts are the kinds of events after which a process is not there until the next event.
var interrupts = map[faultKind]bool{faultTerm: true, faultKill: true, faultFreeze: true}
