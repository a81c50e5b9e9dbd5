package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// eventInterval is the time between two events of a stream at the usual pace.
	eventInterval = 10 * time.Millisecond
	// mostEvents is how many events a stream has at most. All requests state it: what a response really has, they don't tell.
	mostEvents = 400
	// shortShare is the share of streams that have at most shortEvents.
	shortShare  = 0.7
	shortEvents = 8
	// paceInterval is how long replicas keep a pace. stallShare is the share of streams with a stall of up to longestStall.
	paceInterval = 4 * time.Second
	stallShare   = 0.05
	longestStall = 1500 * time.Millisecond
)

// paces are the factors by which replicas are slower than the usual pace.
var paces = []float64{0.5, 1, 1, 2, 8}

// drawOf returns a source of random numbers that a name determines.
func drawOf(name string) *rand.Rand {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, name)
	return rand.New(rand.NewPCG(sum.Sum64(), 1))
}

// promptOf returns the body of the request with the id, sealOf the seal of its response, and streamOf the body of its response.
func promptOf(id string) string { return "prompt of " + id }

func sealOf(id string) string { return "seal." + id }

func streamOf(id string) string {
	var stream strings.Builder
	for number := range eventCount(id) {
		stream.WriteString(eventOf(id, number+1))
	}
	return stream.String()
}

func eventOf(id string, number int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id) }

// eventCount returns the number of events of a stream, which the id determines: mostly few, and at times up to mostEvents.
func eventCount(id string) int {
	random := drawOf(id)
	if random.Float64() < shortShare {
		return 1 + random.IntN(shortEvents)
	}
	return 1 + random.IntN(mostEvents)
}

// misbehaviour is what a replica does with a request in place of answering it whole.
type misbehaviour string

const (
	// answerWhole is no misbehaviour.
	answerWhole misbehaviour = ""
	// answerFull rejects the request with the proof that it was not executed.
	answerFull misbehaviour = "full"
	// answerError answers with 500.
	answerError misbehaviour = "error"
	// breakOff ends the response in the middle of an event, and resetAtOnce before its first byte.
	breakOff    misbehaviour = "break off"
	resetAtOnce misbehaviour = "reset"
)

// misbehaviourShares are the shares of the requests that replicas answer so.
var misbehaviourShares = []struct {
	kind  misbehaviour
	share float64
}{
	{answerFull, 0.01},
	{answerError, 0.01},
	{breakOff, 0.02},
	{resetAtOnce, 0.01},
}

// misbehaviourOf returns what a replica does with its numbered run of a request.
func misbehaviourOf(id, replica string, run int) misbehaviour {
	draw := drawOf(fmt.Sprint(id, replica, run)).Float64()
	for _, entry := range misbehaviourShares {
		if draw -= entry.share; draw < 0 {
			return entry.kind
		}
	}
	return answerWhole
}

// pacer draws the pace of one replica anew after each paceInterval. It is safe for concurrent use.
type pacer struct {
	lock    sync.Mutex
	random  *rand.Rand
	factor  float64
	drawnAt time.Time
}

// interval returns the time to the next event.
func (p *pacer) interval() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if now := time.Now(); now.Sub(p.drawnAt) > paceInterval {
		p.factor, p.drawnAt = paces[p.random.IntN(len(paces))], now
	}
	return time.Duration(p.factor * float64(eventInterval))
}
