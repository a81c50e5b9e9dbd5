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

// isInTouch reports whether neither the data plane nor any control plane had a fault in the time before that makes a node count as in
// touch again, twice for control planes.
func (h *history) isInTouch(node string, at time.Duration) bool {
	for _, event := range h.Events {
		if event.Kind == faultHangup || event.At > at {
			continue
		}
		age := at - event.At
		if event.Node == node && age <= max(contactTime, graceTime) || isControl(event.Node) && age <= 2*contactTime+graceTime {
			return false
		}
	}
	return true
}
