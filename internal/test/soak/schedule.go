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
	// faultHangup is SIGHUP after the settings file was written anew.
	faultHangup faultKind = "hangup"
	// faultLyingHealth makes the health checks of a replica false for the fault's duration.
	faultLyingHealth faultKind = "lying health"
	// changeConfiguration is a change of the configuration, changeEvacuation an evacuation of a zone that is taken back after the
	// duration.
	changeConfiguration faultKind = "change"
	changeEvacuation    faultKind = "evacuation"
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
	// evacuationInterval is the time between two evacuations, and evacuationTime that between an evacuation and its end.
	evacuationInterval = 14 * time.Second
	evacuationTime     = 9 * time.Second
	// meanLieInterval is the mean time between false health checks, which last for longestLie at most.
	meanLieInterval = 5 * time.Second
	longestLie      = 3 * time.Second
	// mostRepeats limits the further signals of a series, and signalPause is the time between two of them.
	mostRepeats = 4
	signalPause = 150 * time.Millisecond
	// changesPerSeries changes of the configuration follow one another each seriesInterval, seriesPause apart.
	changesPerSeries = 4
	seriesInterval   = 10 * time.Second
	seriesPause      = 100 * time.Millisecond
)

// scheduledFault is an entry of a schedule.
type scheduledFault struct {
	At       time.Duration `json:"at"`
	Node     string        `json:"node,omitempty"`
	Kind     faultKind     `json:"kind"`
	Duration time.Duration `json:"duration,omitempty"`
	// Repeats is how many further signals follow the first one in a series, signalPause apart.
	Repeats int `json:"repeats,omitempty"`
}

// newSchedule draws the faults of a run from a seed. Faults of data planes come in series and overlap, but at least one data plane
// is left alone at any time; faults of control planes keep controlSpacing.
func newSchedule(seed uint64, length time.Duration, controls, edges, replicas []string) []scheduledFault {
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
	schedule = append(schedule, newChanges(seed, length, replicas)...)
	slices.SortStableFunc(schedule, func(a, b scheduledFault) int { return int(a.At - b.At) })
	return schedule
}

// newChanges draws what happens beside the faults of processes: changes, evacuations of one zone at a time, and false health checks.
func newChanges(seed uint64, length time.Duration, replicas []string) (changes []scheduledFault) {
	random := rand.New(rand.NewPCG(seed, 1))
	for at := calmStart; at < length-calmEnd; at += changeInterval {
		changes = append(changes, scheduledFault{At: at, Kind: changeConfiguration})
	}
	for at := calmStart + seriesInterval/2; at < length-calmEnd; at += seriesInterval {
		for number := range changesPerSeries {
			changes = append(changes, scheduledFault{At: at + time.Duration(number)*seriesPause, Kind: changeConfiguration})
		}
	}
	for at := calmStart + exponential(random, meanFaultInterval); at+evacuationTime < length; at += evacuationInterval {
		zone := zoneOf(random.IntN(zoneCount))
		changes = append(changes, scheduledFault{At: at, Node: zone, Kind: changeEvacuation, Duration: evacuationTime})
	}
	for at := exponential(random, meanLieInterval); at < length-calmEnd; at += exponential(random, meanLieInterval) {
		liar := replicas[random.IntN(len(replicas))]
		lie := time.Duration(random.Float64() * float64(longestLie))
		changes = append(changes, scheduledFault{At: at, Node: liar, Kind: faultLyingHealth, Duration: lie})
	}
	return changes
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func drawFault(random *rand.Rand, at time.Duration, node string) scheduledFault {
	fault := scheduledFault{At: at, Node: node, Kind: faultTerm, Repeats: random.IntN(mostRepeats + 1)}
	switch random.IntN(6) {
	case 0:
		fault.Kind, fault.Repeats = faultKill, 0
	case 1:
		fault.Kind, fault.Repeats = faultFreeze, 0
		fault.Duration = shortFreeze + time.Duration(random.Float64()*float64(longestFreeze-shortFreeze))
	case 2:
		fault.Kind = faultHangup
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
	case faultHangup:
		return 0
	default:
		return graceTime + restartDelay
	}
}

// String describes the fault for the record.
func (f scheduledFault) String() string {
	return fmt.Sprintf("%7.3f s %s %s %s, %d repeats", f.At.Seconds(), f.Kind, f.Node, f.Duration.Round(time.Millisecond), f.Repeats)
}
