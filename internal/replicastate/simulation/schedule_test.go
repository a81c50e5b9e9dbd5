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
	wantOthers     troubleKind = "other wants"
	configureOther troubleKind = "another configuration"
	rushedSeizure  troubleKind = "another daemon orders without waiting"
)

// trouble is one change of the world.
type trouble struct {
	kind   troubleKind
	after  time.Duration // since the trouble before
	daemon int
	server int
	pause  time.Duration
	names  []string
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
	wantOthers, wantOthers, wantOthers, killHolder, killHolder, killAny, freezeHolder, freezeDeciding, cutStore, cutRequests,
	cutRequests, loseAnswers, loseAnswers, restartSame, restartOther, configureOther,
}

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
	freezeHolder:   {50 * time.Millisecond, 8 * time.Second},
	freezeDeciding: {50 * time.Millisecond, 6 * time.Second},
	cutStore:       {200 * time.Millisecond, 8 * time.Second},
	cutRequests:    {100 * time.Millisecond, 6 * time.Second},
	loseAnswers:    {100 * time.Millisecond, 2 * time.Second},
	restartSame:    {100 * time.Millisecond, 600 * time.Millisecond},
	restartOther:   {100 * time.Millisecond, 600 * time.Millisecond},
}

var (
	modelNames     = []string{"m1", "m2", "m3", "m4", "m5"}
	adapterNames   = []string{"m1/a1", "m1/a2", "m1/a3", "m2/a1", "m2/a2"}
	configurations = [][]string{modelNames, {"m1", "m2", "m3"}, {"m1", "m3", "m4", "m5"}, {"m2", "m4", "m5"}}
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
		one.after = drawTime(t, "after", 0, 3*time.Second)
		one.daemon = rapid.IntRange(0, 2).Draw(t, "daemon")
		one.server = rapid.IntRange(0, 1).Draw(t, "server")
		if between, known := pauses[one.kind]; known {
			one.pause = drawTime(t, "pause", between[0], between[1])
		}
		switch one.kind {
		case wantOthers:
			one.names = drawWanted(t)
		case configureOther:
			one.names = rapid.SampledFrom(configurations).Draw(t, "configuration")
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
			troubles: rapid.SliceOfN(rapid.Custom(drawTrouble(kinds)), 1, 24).Draw(t, "troubles"),
		}
	})
}
