package routing

import (
	"cmp"
	"slices"
	"time"

	"ferryspar/internal/peer"
)

// modelKey identifies a model or adapter of a backend.
type modelKey struct {
	backend, model string
}

// demandCounters count the demand by model for load reports. arrivals and prefillMs are reset by each report.
type demandCounters struct {
	arrivals  map[modelKey]int
	running   map[modelKey]int
	prefillMs map[modelKey]float64 // predicted time to prefill uncached tokens
}

func newDemandCounters() demandCounters {
	return demandCounters{
		arrivals:  map[modelKey]int{},
		running:   map[modelKey]int{},
		prefillMs: map[modelKey]float64{},
	}
}

func (c *demandCounters) recordArrival(request *Request) { c.arrivals[request.modelKey()]++ }

// recordStart counts a request as running from now on.
func (c *demandCounters) recordStart(request *Request) { c.running[request.modelKey()]++ }

// recordPrefill counts the predicted time of a prefill, wherever it runs.
func (c *demandCounters) recordPrefill(request *Request, prefillMs float64) {
	c.prefillMs[request.modelKey()] += prefillMs
}

func (c *demandCounters) recordEnd(request *Request) {
	key := request.modelKey()
	if c.running[key]--; c.running[key] <= 0 {
		delete(c.running, key)
	}
}

// collectDemand returns the demand by model, sorted by backend and model, and resets arrivals and prefillMs.
func (m *Matcher) collectDemand(now time.Time) []peer.ModelLoad {
	c := &m.demand
	models := map[modelKey]*peer.ModelLoad{}
	at := func(key modelKey) *peer.ModelLoad {
		if models[key] == nil {
			models[key] = &peer.ModelLoad{Backend: key.backend, Model: key.model}
		}
		return models[key]
	}
	for key, amount := range c.arrivals {
		at(key).Arrivals = amount
	}
	for key, amount := range c.prefillMs {
		at(key).PrefillMs = float64(int(amount))
	}
	for key, amount := range c.running {
		at(key).Running = amount
	}
	for _, request := range m.queue.requests {
		model := at(request.modelKey())
		model.Waiting++
		model.OldestWaitMs = max(model.OldestWaitMs, float64(now.Sub(request.ArrivedAt).Milliseconds()))
		model.LoadDueMs = peer.EarlierLoadDue(model.LoadDueMs, m.loadDueMs(request, now))
	}
	c.arrivals = map[modelKey]int{}
	c.prefillMs = map[modelKey]float64{}
	var sorted []peer.ModelLoad
	for _, model := range models {
		sorted = append(sorted, *model)
	}
	slices.SortFunc(sorted, func(left, right peer.ModelLoad) int {
		return cmp.Or(cmp.Compare(left.Backend, right.Backend), cmp.Compare(left.Model, right.Model))
	})
	return sorted
}

// loadDueMs returns the time, in ms, by which the model must be loaded so that the request can still be served, or 0 if a load that
// begins now takes longer.
func (m *Matcher) loadDueMs(request *Request, now time.Time) float64 {
	due := request.Deadline.Sub(now) - m.servingTime(request)
	if due < m.loadTime(request.baseModelKey()) {
		return 0
	}
	return float64(due.Milliseconds())
}
