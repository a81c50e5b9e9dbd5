package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// faultEffect is how long after a fault requests count as near it.
const faultEffect = 5 * time.Second

// summary describes what happened: requests, their outcomes, and the times to the first byte in calm times and near faults.
func (h *history) summary(length time.Duration) string {
	outcomes := map[string]int{}
	var calm, near []time.Duration
	for _, request := range h.Requests {
		outcomes[request.outcome()]++
		if request.FirstByteAt == 0 || request.Status != 200 {
			continue
		}
		latency := request.FirstByteAt - request.SentAt
		if h.hasFault(request.SentAt-faultEffect, request.SentAt) {
			near = append(near, latency)
		} else {
			calm = append(calm, latency)
		}
	}
	var lines strings.Builder
	fmt.Fprintf(&lines, "%d requests (%.0f a second), %d runs, %d events, %d changes and %d evacuations acknowledged, %d reads\n",
		len(h.Requests), float64(len(h.Requests))/length.Seconds(), len(h.Executions), len(h.Events), len(h.Acknowledgements),
		len(h.Evacuations), len(h.Reads))
	var names []string
	for name := range outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&lines, "  %-18s %6d  %5.2f%%\n", name, outcomes[name], 100*float64(outcomes[name])/float64(len(h.Requests)))
	}
	fmt.Fprintf(&lines, "  first byte in calm times: %s\n", quantiles(calm))
	fmt.Fprintf(&lines, "  first byte within %s of a fault: %s", faultEffect, quantiles(near))
	for _, kind := range []string{edgeKind, controlKind} {
		usage := h.Usage[kind]
		fmt.Fprintf(&lines, "\n  %s: at most %.0f MB and %d descriptors, %.0f MB and %d at the end", kind,
			usage.PeakMb, usage.PeakDescriptors, usage.LastMb, usage.LastDescriptors)
	}
	return lines.String()
}

// outcome names how a request ended for its client.
func (s sentRequest) outcome() string {
	switch {
	case s.Complete:
		return fmt.Sprintf("%d", s.Status)
	case s.reachedDeadline():
		return "deadline"
	case s.Status != 0:
		return "cut"
	default:
		return "closed unanswered"
	}
}

// hasFault reports whether there was an event of a process between the moments.
func (h *history) hasFault(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Events, func(event nodeEvent) bool { return event.At >= from && event.At <= to })
}

// quantiles describes the median and the 99th percentile of durations.
func quantiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	slices.Sort(durations)
	at := func(share float64) time.Duration {
		return durations[int(share*float64(len(durations)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d, p50 %s, p99 %s", len(durations), at(0.5), at(0.99))
}
