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
	killHolder          faultKind = "kill the holder, down for"
	killAny             faultKind = "kill a node, down for"
	freezeHolder        faultKind = "freeze the holder for"
	freezeDeciding      faultKind = "freeze the holder at its next decision for"
	partitionStore      faultKind = "partition the holder from the store for"
	delayHolderRequests faultKind = "delay the holder's requests for"
	loseResponses       faultKind = "lose the responses to the holder for"
	restartSameID       faultKind = "restart a replica under the same id, down for"
	restartNewID        faultKind = "restart a replica under another id, down for"
	freezeServer        faultKind = "freeze a replica for"
	changeWanted        faultKind = "change what is wanted"
	changeConfiguration faultKind = "change the configuration"
	storeForgetsHolder  faultKind = "grant the lease to a second node because the store lost its state, for"
	// The following faults are injected when the next order is sent.
	delayOrder        faultKind = "delay requests from the next order on for"
	loseOrderResponse faultKind = "lose responses from the next order on for"
	killSender        faultKind = "kill the sender of the next order, down for"
	freezeSender      faultKind = "freeze the sender of the next order for"
	freezeReceiver    faultKind = "freeze the receiver of the next order for"
	restartReceiver   faultKind = "restart the receiver of the next order under the same id, down for"
)

// fault is one fault, or a change of the configuration or of what is wanted.
type fault struct {
	kind       faultKind
	delay      time.Duration // after the previous fault
	node       int
	server     int
	duration   time.Duration
	references []string // models of the new configuration, or else models and adapters that are wanted from then on
}

func (f fault) String() string {
	return fmt.Sprintf("+%s %s %s (node %d, server %d) %v", f.delay, f.kind, f.duration, f.node, f.server, f.references)
}

// schedule describes a run. Small random delays within it are derived from the seed.
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
	changeWanted, changeWanted, changeWanted,
	killHolder, killAny, freezeHolder, freezeDeciding, partitionStore, delayHolderRequests, loseResponses,
	freezeServer, restartSameID, restartNewID, changeConfiguration,
	delayOrder, delayOrder, delayOrder, loseOrderResponse, loseOrderResponse,
	killSender, killSender, freezeSender, restartReceiver, freezeReceiver, freezeReceiver,
}

// maxFaultDelays are upper bounds for the time between two faults. With the shorter ones faults coincide; the longest gives
// a holder time to take over and place models.
var maxFaultDelays = []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second}

const (
	// minFaults and maxFaults bound the number of faults in a run, including those that only change what is wanted.
	minFaults = 12
	maxFaults = 30
)

// without returns the given kinds of fault except the excluded ones.
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
	restartSameID:       {100 * time.Millisecond, 600 * time.Millisecond},
	restartNewID:        {100 * time.Millisecond, 600 * time.Millisecond},

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

// drawWanted draws one or two models and at most two of their adapters.
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

// drawFault returns a generator function for a fault of one of the given kinds.
func drawFault(kinds []faultKind) func(t *rapid.T) fault {
	return func(t *rapid.T) fault {
		fault := fault{kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
		fault.delay = drawDuration(t, "after", 0, rapid.SampledFrom(maxFaultDelays).Draw(t, "longest"))
		fault.node = rapid.IntRange(0, 2).Draw(t, "node")
		fault.server = rapid.IntRange(0, 1).Draw(t, "server")
		if bounds, known := durationRanges[fault.kind]; known {
			fault.duration = drawDuration(t, "duration", bounds[0], bounds[1])
		}
		switch {
		case fault.kind == changeConfiguration:
			fault.references = rapid.SampledFrom(configurations).Draw(t, "configuration")
		case fault.kind == changeWanted || rapid.IntRange(0, 3).Draw(t, "changes wanted") > 0:
			fault.references = drawWanted(t)
		}
		return fault
	}
}

func drawDuration(t *rapid.T, label string, minimum, maximum time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(minimum/time.Millisecond), int(maximum/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// schedules returns a generator of schedules with faults of the given kinds.
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
