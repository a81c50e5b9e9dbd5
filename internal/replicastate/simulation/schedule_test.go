package simulation

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// troubleKind is what a trouble does.
type troubleKind string

const (
	killHolder     troubleKind = "kill the holder, back after"
	killAny        troubleKind = "kill, back after"
	freezeHolder   troubleKind = "freeze the holder for"
	freezeDeciding troubleKind = "freeze at the next decision for"
	cutStore       troubleKind = "cut from the store for"
	cutRequests    troubleKind = "hold up the holder's requests for"
	loseAnswers    troubleKind = "lose the holder's answers for"
	restartSame    troubleKind = "restart under the same id, down for"
	restartOther   troubleKind = "restart under another id, down for"
	freezeServer   troubleKind = "freeze a replica for"
	wantOthers     troubleKind = "other wants"
	configureOther troubleKind = "another configuration"
	rushedSeizure  troubleKind = "the store forgets, another daemon holds the lease too for"
	// The following happen with the next order that is sent.
	holdOrder       troubleKind = "hold up the next order for"
	loseOrderAnswer troubleKind = "lose the answer of the next order and others for"
	killOrdering    troubleKind = "kill the sender of the next order, back after"
	freezeOrdering  troubleKind = "freeze the sender of the next order for"
	freezeOrdered   troubleKind = "freeze the receiver of the next order for"
	restartOrdered  troubleKind = "restart the receiver of the next order under the same id, down for"
)

// trouble is one change of the world.
type trouble struct {
	kind   troubleKind
	after  time.Duration // since the trouble before
	daemon int
	server int
	pause  time.Duration
	names  []string // of models in a configuration, or else what is wanted from then on
}

func (t trouble) String() string {
	return fmt.Sprintf("+%s %s %s (daemon %d, server %d) %v", t.after, t.kind, t.pause, t.daemon, t.server, t.names)
}

// schedule is one play before its small delays are drawn by the seed.
type schedule struct {
	seed     uint64
	daemons  int
	servers  int
	fencing  bool
	wanted   []string
	troubles []trouble
}

func (s schedule) String() string {
	lines := []string{fmt.Sprintf("seed %d, %d daemons, %d servers, fencing %t, wanted %v", s.seed, s.daemons, s.servers, s.fencing, s.wanted)}
	for _, one := range s.troubles {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

var ordinaryTroubles = []troubleKind{
	wantOthers, wantOthers, wantOthers, killHolder, killAny, freezeHolder, freezeDeciding, cutStore, cutRequests, loseAnswers,
	freezeServer, restartSame, restartOther, configureOther, holdOrder, holdOrder, holdOrder, loseOrderAnswer, loseOrderAnswer,
	killOrdering, killOrdering, freezeOrdering, restartOrdered, freezeOrdered, freezeOrdered,
}

// longestCalms are bounds of the time between two troubles: some come close together, others once a holder has
// taken over and placed.
var longestCalms = []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second}

const (
	// A play has so many troubles; those that only change what is wanted are among them.
	leastTroubles = 12
	mostTroubles  = 30
)

// without are the kinds of trouble less some.
func without(kinds []troubleKind, left ...troubleKind) []troubleKind {
	var kept []troubleKind
	for _, kind := range kinds {
		dropped := false
		for _, one := range left {
			dropped = dropped || kind == one
		}
		if !dropped {
			kept = append(kept, kind)
		}
	}
	return kept
}

var pauses = map[troubleKind][2]time.Duration{
	killHolder:     {20 * time.Millisecond, 3 * time.Second},
	killAny:        {20 * time.Millisecond, 8 * time.Second},
	freezeHolder:   {50 * time.Millisecond, 10 * time.Second},
	freezeDeciding: {50 * time.Millisecond, 3 * time.Second},
	cutStore:       {200 * time.Millisecond, 12 * time.Second},
	cutRequests:    {100 * time.Millisecond, 10 * time.Second},
	loseAnswers:    {100 * time.Millisecond, 2 * time.Second},
	restartSame:    {100 * time.Millisecond, 600 * time.Millisecond},
	restartOther:   {100 * time.Millisecond, 600 * time.Millisecond},

	holdOrder:       {100 * time.Millisecond, 8 * time.Second},
	loseOrderAnswer: {50 * time.Millisecond, time.Second},
	killOrdering:    {20 * time.Millisecond, 3 * time.Second},
	freezeOrdering:  {50 * time.Millisecond, 10 * time.Second},
	restartOrdered:  {100 * time.Millisecond, 600 * time.Millisecond},
	freezeServer:    {100 * time.Millisecond, 8 * time.Second},
	freezeOrdered:   {100 * time.Millisecond, 8 * time.Second},
	rushedSeizure:   {500 * time.Millisecond, 6 * time.Second},
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
		for _, one := range wanted {
			if one == model {
				wanted = append(wanted, adapter)
				break
			}
		}
	}
	return wanted
}

// drawTrouble draws one trouble of some kinds.
func drawTrouble(kinds []troubleKind) func(t *rapid.T) trouble {
	return func(t *rapid.T) trouble {
		one := trouble{kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
		one.after = drawTime(t, "after", 0, rapid.SampledFrom(longestCalms).Draw(t, "longest"))
		one.daemon = rapid.IntRange(0, 2).Draw(t, "daemon")
		one.server = rapid.IntRange(0, 1).Draw(t, "server")
		if between, known := pauses[one.kind]; known {
			one.pause = drawTime(t, "pause", between[0], between[1])
		}
		switch {
		case one.kind == configureOther:
			one.names = rapid.SampledFrom(configurations).Draw(t, "configuration")
		case one.kind == wantOthers || rapid.IntRange(0, 3).Draw(t, "wants too") > 0:
			one.names = drawWanted(t)
		}
		return one
	}
}

func drawTime(t *rapid.T, label string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(least/time.Millisecond), int(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// schedules generates plays with troubles of some kinds.
func schedules(kinds []troubleKind) *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		return schedule{
			seed:     rapid.Uint64Max(1<<20).Draw(t, "seed"),
			daemons:  rapid.IntRange(2, 3).Draw(t, "daemons"),
			servers:  rapid.IntRange(1, 2).Draw(t, "servers"),
			fencing:  rapid.Bool().Draw(t, "fencing"),
			wanted:   drawWanted(t),
			troubles: rapid.SliceOfN(rapid.Custom(drawTrouble(kinds)), leastTroubles, mostTroubles).Draw(t, "troubles"),
		}
	})
}
