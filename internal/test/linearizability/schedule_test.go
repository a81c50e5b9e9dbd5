package linearizability_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// callKind is the kind of an operator's call.
type callKind int

const (
	callPut callKind = iota
	callPatch
	callGet
	callDrain
	callReadZone
)

var callNames = [...]string{"PUT", "PATCH", "GET", "drain", "read zone"}

// operatorCall is one planned call of an operator. The revision that it is conditional on is chosen when it is sent.
type operatorCall struct {
	number   int
	at       time.Duration
	operator int
	kind     callKind
	zone     string
	drained  bool
	// node is the index of the node that gets the first attempt; each retry goes to the next node.
	node int
	// lostReplies is the number of attempts whose replies are lost.
	lostReplies int
	// delay is the delay between the token and the first attempt of a drain.
	delay time.Duration
}

// faultKind is the kind of a fault of a machine or of links.
type faultKind int

const (
	faultKill faultKind = iota
	faultPowerLoss
	faultWipe
	faultIsolate
	faultStallDisk
	faultRejectWrites
	faultFreeze
	faultCutZoneLink
	faultLoseZone
	faultStepClock
	faultLoseMachine
	faultKinds
)

var faultNames = [...]string{
	"kill",
	"lose power",
	"wipe",
	"isolate",
	"stall disk",
	"reject writes",
	"freeze",
	"cut zone link",
	"lose zone",
	"step clock",
	"lose machine",
}

// plannedFault is one fault of a schedule. Faults may overlap.
type plannedFault struct {
	at       time.Duration
	kind     faultKind
	machine  int
	duration time.Duration
	seed     uint64
}

// schedule determines a simulation completely. Any of its faults and calls may be omitted, so that a failing schedule can be
// shrunk.
type schedule struct {
	seed  uint64
	size  int
	lossy bool
	// standby provides a spare machine with an empty disk, so that an unresponsive member is replaced.
	standby bool
	// interruptsReplacements allows any number of next members to lose their disks, see simulation.groupsInForce.
	interruptsReplacements bool
	faults                 []plannedFault
	calls                  []operatorCall
}

const (
	simulationLength = 10 * time.Second
	longFreeze       = 20 * time.Second
	zoneCount        = 2
)

var zoneNames = [zoneCount]string{"north", "south"}

// drawSchedule returns the random schedule of a seed.
func drawSchedule(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 41))
	planned := schedule{seed: seed, size: 3 + 2*int(seed%4/3), lossy: seed%2 == 0, standby: seed%3 == 0}
	for range 3 + random.IntN(8) {
		planned.faults = append(planned.faults, drawFault(random))
	}
	burst := time.Duration(0)
	for number := range 24 + random.IntN(24) {
		if random.IntN(6) == 0 {
			burst = drawTime(random, simulationLength)
		}
		planned.calls = append(planned.calls, drawCall(random, number, burst))
	}
	return planned
}

func drawTime(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

func drawFault(random *rand.Rand) plannedFault {
	fault := plannedFault{
		at:       200*time.Millisecond + drawTime(random, simulationLength),
		kind:     faultKind(random.IntN(int(faultKinds))),
		machine:  random.IntN(60),
		duration: 20*time.Millisecond + drawTime(random, 3*time.Second),
		seed:     random.Uint64(),
	}
	if fault.kind == faultFreeze && random.IntN(4) == 0 {
		fault.duration = drawTime(random, longFreeze)
	}
	return fault
}

func drawCall(random *rand.Rand, number int, burst time.Duration) operatorCall {
	call := operatorCall{
		number:   number,
		at:       burst + drawTime(random, 900*time.Millisecond),
		operator: random.IntN(2),
		node:     random.IntN(60),
		zone:     zoneNames[random.IntN(zoneCount)],
		drained:  random.IntN(2) == 0,
	}
	kinds := []callKind{
		callPut,
		callPut,
		callPatch,
		callPatch,
		callGet,
		callGet,
		callDrain,
		callDrain,
		callDrain,
		callReadZone,
	}
	call.kind = kinds[random.IntN(len(kinds))]
	if random.IntN(4) == 0 {
		call.lostReplies = 1 + random.IntN(2)
	}
	if call.kind == callDrain && random.IntN(4) == 0 {
		call.delay = drawTime(random, 4*time.Second)
	}
	return call
}

func (s schedule) String() string {
	text := fmt.Sprintf("seed %d, %d members, lossy %t, standby %t\n", s.seed, s.size, s.lossy, s.standby)
	for _, item := range s.faults {
		at, duration := item.at.Round(time.Millisecond), item.duration.Round(time.Millisecond)
		text += fmt.Sprintf("  %7s %s machine %d for %s\n", at, faultNames[item.kind], item.machine, duration)
	}
	for _, item := range s.calls {
		text += fmt.Sprintf("  %7s call %d: operator %d, %s at node %d",
			item.at.Round(time.Millisecond), item.number, item.operator, callNames[item.kind], item.node)
		if item.kind == callDrain {
			text += fmt.Sprintf(" %s %t delayed by %s", item.zone, item.drained, item.delay.Round(time.Millisecond))
		}
		text += fmt.Sprintf(", %d replies lost\n", item.lostReplies)
	}
	return text
}
