package emulator

import (
	"slices"
	"sort"
	"strings"
	"time"
)

type Sample struct {
	AtS     float64 `json:"atS"`
	Waiting int     `json:"waiting"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	Warm    float64 `json:"warmTokens"`
	Stored  int     `json:"loadsFromStore"`
	Disk    int     `json:"loadsFromDisk"`
}

type Bucket struct {
	AtS     float64   `json:"atS"`
	Offered int       `json:"offered"`
	InTime  int       `json:"inTime"`
	Refused int       `json:"refused"`
	Firsts  []float64 `json:"firstTokenMs"`
	Pauses  []float64 `json:"longestPauseMs"`
}

type ClassResult struct {
	Name     string         `json:"name"`
	Offered  int            `json:"offered"`
	InTime   int            `json:"inTime"`
	Outcomes map[string]int `json:"outcomes"`
	Resumed  int            `json:"resumed"`
	Buckets  []Bucket       `json:"buckets"`
}

type LossResult struct {
	AtS       float64            `json:"atS"`
	Running   int                `json:"running"`
	Waiting   int                `json:"waiting"`
	Warm      map[string]float64 `json:"warmTokens"`
	LastCopy  []string           `json:"modelsWithoutCopy"`
	BoundHere int                `json:"boundRunning"`
}

type Result struct {
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	Samples    []Sample      `json:"samples"`
	Losses     []LossResult  `json:"losses"`
	ReadTokens float64       `json:"readTokens"`
	KeptTokens float64       `json:"keptTokens"`
	Dispatched int           `json:"dispatched"`
	Faults     []string      `json:"faults"`
}

type observer struct {
	scenario   Scenario
	classes    []ClassResult
	samples    []Sample
	losses     []LossResult
	stored     int
	disk       int
	readTokens float64
	keptTokens float64
	dispatches int
}

func newObserver(scenario Scenario) *observer {
	o := &observer{scenario: scenario}
	buckets := int(scenario.LengthS/scenario.BucketS) + 1
	for _, class := range scenario.Classes {
		one := ClassResult{Name: class.Name, Outcomes: map[string]int{}}
		for number := range buckets {
			one.Buckets = append(one.Buckets, Bucket{AtS: float64(number) * scenario.BucketS, Firsts: []float64{}, Pauses: []float64{}})
		}
		o.classes = append(o.classes, one)
	}
	return o
}

func (o *observer) read(unread, prompt float64) {
	o.readTokens += unread
	o.keptTokens += max(prompt-unread, 0)
}

func (o *observer) loaded(stored bool) {
	if stored {
		o.stored++
	} else {
		o.disk++
	}
}

func (o *observer) dispatched(one *call) { o.dispatches++ }

func inMilliseconds(length time.Duration) float64 { return float64(length.Microseconds()) / 1000 }

func (o *observer) ended(one *call) {
	class := &o.classes[one.request.Class]
	bucket := &class.Buckets[min(int(one.request.At.Seconds()/o.scenario.BucketS), len(class.Buckets)-1)]
	class.Offered++
	class.Outcomes[one.outcome]++
	bucket.Offered++
	if one.inTime() {
		class.InTime++
		bucket.InTime++
	}
	if one.outcome == outcomeRefused {
		bucket.Refused++
	}
	if one.outcome == outcomeServed && one.tries > 1 {
		class.Resumed++
	}
	if one.received > 0 {
		bucket.Firsts = append(bucket.Firsts, inMilliseconds(one.first.Sub(one.began)))
		bucket.Pauses = append(bucket.Pauses, inMilliseconds(one.pause))
	}
}

func (o *observer) sample(w *World) {
	one := Sample{AtS: w.elapsed().Seconds(), Stored: o.stored, Disk: o.disk}
	for _, edge := range w.edges {
		if edge.alive {
			one.Waiting += edge.matcher.Waiting()
		}
	}
	for _, machine := range w.machines {
		if up := machine.up; up != nil {
			one.Queued += len(up.queue)
			one.Running += len(up.running)
			one.Warm += up.memory.kept
		}
	}
	o.samples = append(o.samples, one)
}

func (o *observer) losing(w *World, areas []int) {
	loss := LossResult{AtS: w.elapsed().Seconds(), Warm: map[string]float64{}, LastCopy: []string{}}
	kept := map[string]bool{}
	gone := map[string]bool{}
	for _, one := range w.machines {
		if one.up == nil {
			continue
		}
		lost := slices.Contains(areas, one.area)
		for reference := range one.up.held {
			if lost {
				gone[reference] = true
			} else {
				kept[reference] = true
			}
		}
		if !lost {
			continue
		}
		loss.Running += len(one.up.running)
		loss.Waiting += len(one.up.queue)
		for name, element := range one.up.memory.parts {
			model, _, _ := strings.Cut(name.model, "/")
			loss.Warm[model] += element.Value.(*keptPart).tokens
		}
		for _, held := range one.up.running {
			if len(held.pass.call.class.Homes) > 0 {
				loss.BoundHere++
			}
		}
	}
	for _, one := range w.edges {
		if one.alive && slices.Contains(areas, one.area) {
			loss.Waiting += one.matcher.Waiting()
		}
	}
	for reference := range gone {
		if !kept[reference] {
			loss.LastCopy = append(loss.LastCopy, reference)
		}
	}
	sort.Strings(loss.LastCopy)
	o.losses = append(o.losses, loss)
}

func (o *observer) result(w *World) Result {
	return Result{
		Seed: o.scenario.Seed, Classes: o.classes, Samples: o.samples, Losses: append([]LossResult{}, o.losses...), ReadTokens: o.readTokens,
		KeptTokens: o.keptTokens, Dispatched: o.dispatches, Faults: append([]string{}, w.faults...),
	}
}
