package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is what is done to a process.
type faultKind string

const (
	// faultTerm is SIGTERM, with SIGKILL after the grace period.
	faultTerm faultKind = "term"
	// faultKill is SIGKILL.
	faultKill faultKind = "kill"
	// faultFreeze is SIGSTOP, and SIGCONT after the fault's duration.
	faultFreeze faultKind = "freeze"
	// eventThaw is recorded when a frozen process goes on, eventStart when one is started after its SIGTERM, and eventRestart when one
	// is started after a SIGKILL.
	eventThaw    faultKind = "thaw"
	eventStart   faultKind = "start"
	eventRestart faultKind = "restart"
	// changeConfiguration is a change of the configuration.
	changeConfiguration faultKind = "change"
)

const (
	// calmStart and calmEnd are the times without faults at the start and the end of a run.
	calmStart = 3 * time.Second
	calmEnd   = 4 * time.Second
	// longestFreeze limits freezes.
	longestFreeze = 4 * time.Second
	shortFreeze   = 50 * time.Millisecond
	// controlSpacing is the least time between faults of control planes, of which one at a time may be lost: a process may take the
	// grace period to end, then restarts, and counts as lost for syncTime after that.
	controlSpacing = graceTime + restartDelay + syncTime + longestFreeze
	// meanFaultInterval is the mean time between faults of data planes.
	meanFaultInterval = 1500 * time.Millisecond
	changeInterval    = 2500 * time.Millisecond
)

// scheduledFault is an entry of a schedule.
type scheduledFault struct {
	At       time.Duration `json:"at"`
	Node     string        `json:"node,omitempty"`
	Kind     faultKind     `json:"kind"`
	Duration time.Duration `json:"duration,omitempty"`
}

// newSchedule draws the faults of a run from a seed. Faults of data planes come in series and overlap, but at least one data plane
// is left alone at any time; faults of control planes keep controlSpacing.
func newSchedule(seed uint64, length time.Duration, controls, edges []string) []scheduledFault {
	random := rand.New(rand.NewPCG(seed, 0))
	var schedule []scheduledFault
	busyUntil := map[string]time.Duration{}
	for at := calmStart; at < length-calmEnd; at += exponential(random, meanFaultInterval) {
		free := slices.DeleteFunc(slices.Clone(edges), func(node string) bool { return busyUntil[node] > at })
		if len(free) < 2 {
			continue
		}
		fault := drawFault(random, at, free[random.IntN(len(free))])
		busyUntil[fault.Node] = at + occupation(fault)
		schedule = append(schedule, fault)
	}
	for at := calmStart + exponential(random, meanFaultInterval); at < length-calmEnd; at += controlSpacing {
		schedule = append(schedule, drawFault(random, at, controls[random.IntN(len(controls))]))
	}
	for at := calmStart; at < length-calmEnd; at += changeInterval {
		schedule = append(schedule, scheduledFault{At: at, Kind: changeConfiguration})
	}
	slices.SortStableFunc(schedule, func(a, b scheduledFault) int { return int(a.At - b.At) })
	return schedule
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func drawFault(random *rand.Rand, at time.Duration, node string) scheduledFault {
	fault := scheduledFault{At: at, Node: node, Kind: faultTerm}
	switch random.IntN(5) {
	case 0:
		fault.Kind = faultKill
	case 1:
		fault.Kind = faultFreeze
		fault.Duration = shortFreeze + time.Duration(random.Float64()*float64(longestFreeze-shortFreeze))
	}
	return fault
}

// occupation returns how long a node is not given another fault.
func occupation(fault scheduledFault) time.Duration {
	switch fault.Kind {
	case faultFreeze:
		return fault.Duration
	case faultKill:
		return restartDelay
	default:
		return graceTime + restartDelay
	}
}

// String describes the fault for the record.
func (f scheduledFault) String() string {
	return fmt.Sprintf("%7.3f s %s %s %s", f.At.Seconds(), f.Kind, f.Node, f.Duration.Round(time.Millisecond))
}
