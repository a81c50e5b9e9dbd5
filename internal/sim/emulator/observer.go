package emulator

import (
	"time"
)

// Sample is the state of the fleet at one time. The numbers of loads and of prompt tokens processed are
// cumulative.
type Sample struct {
	AtS           float64 `json:"atS"`
	Waiting       int     `json:"waiting"`
	Queued        int     `json:"queued"`
	Running       int     `json:"running"`
	CachedTokens  float64 `json:"warmTokens"`
	StoreLoads    int     `json:"loadsFromStore"`
	DiskLoads     int     `json:"loadsFromDisk"`
	PrefillTokens float64 `json:"promptTokensRead"`
}

// RequestOutcome is the outcome of one request. FirstTokenMs is 0 if no token was received.
type RequestOutcome struct {
	Class        int
	AtS          float64
	FirstTokenMs float64
	Outcome      string
	InTime       bool
	WaitMs       float64
	// NotLoaded is set if no replica had the model loaded when the request was sent.
	NotLoaded bool
}

// Bucket aggregates the requests of a class that arrived in one time bucket.
type Bucket struct {
	AtS           float64   `json:"atS"`
	Offered       int       `json:"offered"`
	InTime        int       `json:"inTime"`
	Rejected      int       `json:"refused"`
	FirstTokenMs  []float64 `json:"firstTokenMs"`
	MaxTokenGapMs []float64 `json:"longestPauseMs"`
}

// ClassResult aggregates the requests of a class. Resumed counts those served after more than one attempt.
type ClassResult struct {
	Name     string         `json:"name"`
	Offered  int            `json:"offered"`
	InTime   int            `json:"inTime"`
	Outcomes map[string]int `json:"outcomes"`
	Resumed  int            `json:"resumed"`
	Buckets  []Bucket       `json:"buckets"`
}

// LossResult describes what a loss affected, counted just before it, and its effects.
type LossResult struct {
	AtS          float64            `json:"atS"`
	Running      int                `json:"running"`
	Waiting      int                `json:"waiting"`
	CachedTokens map[string]float64 `json:"warmTokens"`
	WithoutCopy  []string           `json:"modelsWithoutCopy"`
	// Moving counts the requests that must move, by the class's index.
	Moving      []int               `json:"requestsMoving"`
	Forecasts   map[string]Forecast `json:"forecasts,omitempty"`
	LastReloadS float64             `json:"lastCopyBackS"`
	// MovedTo counts the interrupted requests that continued, by replica.
	MovedTo map[string]int `json:"movedTo"`
	// RegionBound counts the interrupted requests that may run in lost regions only.
	RegionBound  int      `json:"boundToLost"`
	Interrupted  int      `json:"caught"`
	FullReplicas int      `json:"replicasFull"`
	Surviving    []string `json:"replicasLeft"`
}

// Result holds all observations of a run.
type Result struct {
	Seed          uint64        `json:"seed"`
	Classes       []ClassResult `json:"classes"`
	Samples       []Sample      `json:"samples"`
	Losses        []LossResult  `json:"losses"`
	PrefillTokens float64       `json:"readTokens"`
	CachedTokens  float64       `json:"keptTokens"`
	Forwards      int           `json:"dispatched"`
	// Violations describes the invariants of the emulation that did not hold; a correct run has none.
	Violations []string         `json:"faults"`
	Requests   []RequestOutcome `json:"-"`
}

// observer collects the results during a run.
type observer struct {
	scenario      Scenario
	classes       []ClassResult
	samples       []Sample
	losses        []LossResult
	storeLoads    int
	diskLoads     int
	prefillTokens float64
	cachedTokens  float64
	forwards      int
	requests      []RequestOutcome
}

// newObserver returns an observer with an empty bucket for every interval of the scenario.
func newObserver(scenario Scenario) *observer {
	o := &observer{scenario: scenario}
	buckets := int(scenario.LengthS/scenario.BucketS) + 1
	for _, class := range scenario.Classes {
		result := ClassResult{Name: class.Name, Outcomes: map[string]int{}}
		for number := range buckets {
			result.Buckets = append(result.Buckets, Bucket{
				AtS:           float64(number) * scenario.BucketS,
				FirstTokenMs:  []float64{},
				MaxTokenGapMs: []float64{},
			})
		}
		o.classes = append(o.classes, result)
	}
	return o
}

// promptAdmitted counts the tokens of a prompt that must be processed and those that were cached.
func (o *observer) promptAdmitted(unread, prompt float64) {
	o.prefillTokens += unread
	o.cachedTokens += max(prompt-unread, 0)
}

// loaded counts a load, from the store or from a disk.
func (o *observer) loaded(stored bool) {
	if stored {
		o.storeLoads++
	} else {
		o.diskLoads++
	}
}

// forwarded counts a forward to a replica.
func (o *observer) forwarded() { o.forwards++ }

// inMilliseconds converts a duration to milliseconds with microsecond resolution.
func inMilliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// requestEnded records the outcome of a call.
func (o *observer) requestEnded(clientCall *call) {
	class := &o.classes[clientCall.request.Class]
	bucket := &class.Buckets[min(int(clientCall.request.At.Seconds()/o.scenario.BucketS), len(class.Buckets)-1)]
	o.requests[clientCall.request.Number] = RequestOutcome{
		Class:        clientCall.request.Class,
		AtS:          clientCall.request.At.Seconds(),
		FirstTokenMs: clientCall.firstTokenMs(),
		Outcome:      clientCall.outcome,
		InTime:       clientCall.inTime(),
		WaitMs:       clientCall.waitMs,
		NotLoaded:    clientCall.notLoaded,
	}
	class.Offered++
	class.Outcomes[clientCall.outcome]++
	bucket.Offered++
	if clientCall.inTime() {
		class.InTime++
		bucket.InTime++
	}
	if clientCall.outcome == outcomeRejected {
		bucket.Rejected++
	}
	if clientCall.outcome == outcomeServed && clientCall.attemptsMade > 1 {
		class.Resumed++
	}
	if clientCall.received > 0 {
		bucket.FirstTokenMs = append(bucket.FirstTokenMs, clientCall.firstTokenMs())
		bucket.MaxTokenGapMs = append(bucket.MaxTokenGapMs, inMilliseconds(clientCall.maxEventGap))
	}
}

// takeSample records the state of the fleet.
func (o *observer) takeSample(w *World) {
	sample := Sample{AtS: w.elapsed().Seconds(), StoreLoads: o.storeLoads, DiskLoads: o.diskLoads, PrefillTokens: o.prefillTokens}
	for _, edge := range w.edges {
		if edge.alive {
			sample.Waiting += edge.matcher.WaitingCount()
		}
	}
	for _, machine := range w.machines {
		if up := machine.current; up != nil {
			sample.Queued += len(up.queue)
			sample.Running += len(up.running)
			sample.CachedTokens += up.cache.cached
		}
	}
	o.samples = append(o.samples, sample)
}

// result returns the observations so far.
func (o *observer) result(w *World) Result {
	return Result{
		Seed:          o.scenario.Seed,
		Classes:       o.classes,
		Samples:       o.samples,
		Losses:        append([]LossResult{}, o.losses...),
		PrefillTokens: o.prefillTokens,
		CachedTokens:  o.cachedTokens,
		Forwards:      o.forwards,
		Violations:    append([]string{}, w.violations...),
		Requests:      o.requests,
	}
}
