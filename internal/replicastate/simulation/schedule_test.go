package simulation

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// faultKind is what a fault does.
type faultKind string

const (
	killHolder          faultKind = "kill the holder, back after"
	killAny             faultKind = "kill, back after"
	freezeHolder        faultKind = "freeze the holder for"
	freezeDeciding      faultKind = "freeze at the next decision for"
	partitionStore      faultKind = "cut from the store for"
	delayHolderRequests faultKind = "hold up the holder's requests for"
	loseResponses       faultKind = "lose the holder's answers for"
	restartSame         faultKind = "restart under the same id, down for"
	restartOther        faultKind = "restart under another id, down for"
	freezeServer        faultKind = "freeze a replica for"
	wantOthers          faultKind = "other wants"
	configureOther      faultKind = "another configuration"
	storeForgetsHolder  faultKind = "the store forgets, another node holds the lease too for"
	// The following happen with the next order that is sent.
	delayOrder        faultKind = "hold up the next order for"
	loseOrderResponse faultKind = "lose the answer of the next order and others for"
	killSender        faultKind = "kill the sender of the next order, back after"
	freezeSender      faultKind = "freeze the sender of the next order for"
	freezeReceiver    faultKind = "freeze the receiver of the next order for"
	restartReceiver   faultKind = "restart the receiver of the next order under the same id, down for"
)

// fault is one change of the world.
type fault struct {
	kind     faultKind
	delay    time.Duration // since the fault before
	node     int
	server   int
	duration time.Duration
	names    []string // of models in a configuration, or else what is wanted from then on
}

func (f fault) String() string {
	return fmt.Sprintf("+%s %s %s (node %d, server %d) %v", f.delay, f.kind, f.duration, f.node, f.server, f.names)
}

// schedule is one run before its small delays are drawn by the seed.
type schedule struct {
	seed    uint64
	nodes   int
	servers int
	fencing bool
	wanted  []string
	faults  []fault
}

func (s schedule) String() string {
	lines := []string{
		fmt.Sprintf("seed %d, %d nodes, %d servers, fencing %t, wanted %v", s.seed, s.nodes, s.servers, s.fencing, s.wanted),
	}
	for _, fault := range s.faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

var ordinaryFaults = []faultKind{
	wantOthers, wantOthers, wantOthers,
	killHolder, killAny, freezeHolder, freezeDeciding, partitionStore, delayHolderRequests, loseResponses,
	freezeServer, restartSame, restartOther, configureOther,
	delayOrder, delayOrder, delayOrder, loseOrderResponse, loseOrderResponse,
	killSender, killSender, freezeSender, restartReceiver, freezeReceiver, freezeReceiver,
}

// maxFaultDelays are the longest times between two faults: some come close together, others once a holder has taken over and
// placed models.
var maxFaultDelays = []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second}

const (
	// minFaults and maxFaults bound the faults of a run; those that only change what is wanted are among them.
	minFaults = 12
	maxFaults = 30
)

// without returns the kinds of fault less some.
func without(kinds []faultKind, excluded ...faultKind) []faultKind {
	var result []faultKind
	for _, kind := range kinds {
		dropped := false
		for _, other := range excluded {
			dropped = dropped || kind == other
		}
		if !dropped {
			result = append(result, kind)
		}
	}
	return result
}

var durationRanges = map[faultKind][2]time.Duration{
	killHolder:          {20 * time.Millisecond, 3 * time.Second},
	killAny:             {20 * time.Millisecond, 8 * time.Second},
	freezeHolder:        {50 * time.Millisecond, 10 * time.Second},
	freezeDeciding:      {50 * time.Millisecond, 3 * time.Second},
	partitionStore:      {200 * time.Millisecond, 12 * time.Second},
	delayHolderRequests: {100 * time.Millisecond, 10 * time.Second},
	loseResponses:       {100 * time.Millisecond, 2 * time.Second},
	restartSame:         {100 * time.Millisecond, 600 * time.Millisecond},
	restartOther:        {100 * time.Millisecond, 600 * time.Millisecond},

	delayOrder:         {100 * time.Millisecond, 8 * time.Second},
	loseOrderResponse:  {50 * time.Millisecond, time.Second},
	killSender:         {20 * time.Millisecond, 3 * time.Second},
	freezeSender:       {50 * time.Millisecond, 10 * time.Second},
	restartReceiver:    {100 * time.Millisecond, 600 * time.Millisecond},
	freezeServer:       {100 * time.Millisecond, 8 * time.Second},
	freezeReceiver:     {100 * time.Millisecond, 8 * time.Second},
	storeForgetsHolder: {500 * time.Millisecond, 6 * time.Second},
}

var (
	modelNames     = []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	adapterNames   = []string{"m1/a1", "m1/a2", "m1/a3", "m2/a1", "m2/a2"}
	configurations = [][]string{modelNames, {"m1", "m2", "m3"}, {"m1", "m3", "m4", "m5", "m8"}, {"m2", "m4", "m5", "m6", "m7"}}
)

// drawWanted draws two models at most, and two adapters of those.
func drawWanted(t *rapid.T) []string {
	wanted := rapid.SliceOfNDistinct(rapid.SampledFrom(modelNames), 1, 2, rapid.ID[string]).Draw(t, "models")
	for _, adapter := range rapid.SliceOfNDistinct(rapid.SampledFrom(adapterNames), 0, 2, rapid.ID[string]).Draw(t, "adapters") {
		model, _, _ := strings.Cut(adapter, "/")
		for _, chosen := range wanted {
			if chosen == model {
				wanted = append(wanted, adapter)
				break
			}
		}
	}
	return wanted
}

// drawFault draws one fault of some kinds.
func drawFault(kinds []faultKind) func(t *rapid.T) fault {
	return func(t *rapid.T) fault {
		fault := fault{kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
		fault.delay = drawDuration(t, "after", 0, rapid.SampledFrom(maxFaultDelays).Draw(t, "longest"))
		fault.node = rapid.IntRange(0, 2).Draw(t, "node")
		fault.server = rapid.IntRange(0, 1).Draw(t, "server")
		if between, known := durationRanges[fault.kind]; known {
			fault.duration = drawDuration(t, "duration", between[0], between[1])
		}
		switch {
		case fault.kind == configureOther:
			fault.names = rapid.SampledFrom(configurations).Draw(t, "configuration")
		case fault.kind == wantOthers || rapid.IntRange(0, 3).Draw(t, "wants too") > 0:
			fault.names = drawWanted(t)
		}
		return fault
	}
}

func drawDuration(t *rapid.T, label string, minimum, maximum time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(minimum/time.Millisecond), int(maximum/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// schedules generates runs with faults of some kinds.
func schedules(kinds []faultKind) *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		return schedule{
			seed:    rapid.Uint64Max(1<<20).Draw(t, "seed"),
			nodes:   rapid.IntRange(2, 3).Draw(t, "nodes"),
			servers: rapid.IntRange(1, 2).Draw(t, "servers"),
			fencing: rapid.Bool().Draw(t, "fencing"),
			wanted:  drawWanted(t),
			faults:  rapid.SliceOfN(rapid.Custom(drawFault(kinds)), minFaults, maxFaults).Draw(t, "faults"),
		}
	})
}
