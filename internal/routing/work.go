package routing

import (
	"time"

	"ferryspar/internal/discovery"
)

const (
	// paceGain and paceDeviationGain are the weights of a new sample in a learned pace and its deviation (RFC 6298).
	paceGain          = 1.0 / 8
	paceDeviationGain = 1.0 / 4
	// paceDeviations is the number of mean deviations above the mean within which about nineteen of twenty answers stay.
	paceDeviations = 2
)

// answerPace is the learned time that the answers of a model take for each token that their requests allow, in ms.
type answerPace struct {
	meanMs, deviationMs float64
}

func (p *answerPace) observe(msPerToken float64) {
	distance := msPerToken - p.meanMs
	p.deviationMs += paceDeviationGain * (max(distance, -distance) - p.deviationMs)
	p.meanMs += paceGain * distance
}

// answerPaces are the learned paces by model.
type answerPaces map[modelKey]*answerPace

// observe learns from an answer that is complete. Resumed streams are left out: they ran only a part of what their requests allow.
func (p answerPaces) observe(ticket *Ticket, completedAt time.Time) {
	request := ticket.request
	if ticket.firstEventAt.IsZero() || request.Resumed || request.OutputTokens <= 0 {
		return
	}
	msPerToken := inMs(completedAt.Sub(ticket.firstEventAt)) / request.OutputTokens
	key := request.modelKey()
	if p[key] == nil {
		p[key] = &answerPace{meanMs: msPerToken}
		return
	}
	p[key].observe(msPerToken)
}

// expectedMs returns the expected duration of an answer from its first event on, 0 if nothing is known of the model.
func (p answerPaces) expectedMs(request *Request) float64 {
	if pace := p[request.modelKey()]; pace != nil {
		return request.OutputTokens * pace.meanMs
	}
	return 0
}

// likelyMs returns a duration that an answer is unlikely to exceed, 0 if nothing is known of the model.
func (p answerPaces) likelyMs(request *Request) float64 {
	if pace := p[request.modelKey()]; pace != nil {
		return request.OutputTokens * (pace.meanMs + paceDeviations*pace.deviationMs)
	}
	return 0
}

// fork copies the paces.
func (p answerPaces) fork() answerPaces {
	fork := make(answerPaces, len(p))
	for key, pace := range p {
		copied := *pace
		fork[key] = &copied
	}
	return fork
}

// remainingWork returns how long a request is likely to take from its send to the end of its answer, preceded by a load if its model
// is loaded nowhere (docs/design/waits.md). What is not known yet counts as 0.
func (m *Matcher) remainingWork(request *Request, now time.Time) time.Duration {
	return m.remainingLoad(request, now) + m.servingTime(request)
}

// servingTime returns how long a request is likely to take from its send to the end of its answer.
func (m *Matcher) servingTime(request *Request) time.Duration {
	return fromMs(m.promptMs(request) + m.answers.likelyMs(request))
}

// expectedMs returns the expected time from a request's send to the end of its answer at an idle replica.
func (m *Matcher) expectedMs(request *Request) float64 {
	return m.promptMs(request) + m.answers.expectedMs(request)
}

// promptMs returns the expected time to read a request's prompt, none of which is cached, at the best of the replicas that have its
// model. It uses the learned time for each token, which is limited, and not the predictions of a whole first event: these are learned
// under load, and say little of an idle replica.
func (m *Matcher) promptMs(request *Request) float64 {
	if request.CompletedPrefill != nil {
		return m.decodeMs(request)
	}
	tokens := m.scaledTokens(request) / tokensPerThousand
	if len(request.prefillHostsIn(m.index)) > 0 && !request.NoPrefillStep {
		key := stepKey{backend: request.Backend, phase: discovery.PhasePrefill, step: stepPrefill}
		return tokens*m.models.at(key).prefillMsPerThousand() + m.decodeMs(request)
	}
	bestMs := 0.0
	for at, position := range request.hostsIn(m.index) {
		promptMs := tokens * m.replicas.at(m.index, position).predictor.PrefillMsPerThousand()
		if at == 0 || promptMs < bestMs {
			bestMs = promptMs
		}
	}
	return bestMs
}

// decodeMs returns the predicted time to the first event of the decode step at an idle replica, without the transfer.
func (m *Matcher) decodeMs(request *Request) float64 {
	key := stepKey{backend: request.Backend, phase: discovery.PhaseDecode, step: stepDecode}
	return m.models.at(key).latency(Features{featureIntercept: 1})
}

// scaledTokens returns the tokens of a request's prompt, scaled by its model's prefill factor.
func (m *Matcher) scaledTokens(request *Request) float64 {
	return request.PromptTokens * m.prefillFactors.factor(request.Model)
}

// missingModels remembers since when the models that requests need are loaded nowhere.
type missingModels map[modelKey]*missingModel

type missingModel struct {
	since, lastNeededAt time.Time
}

// record notes that a request needs a model that is loaded nowhere. A model that nothing has needed for longer than its load takes
// counts as needed from now on.
func (m missingModels) record(key modelKey, loadTime time.Duration, now time.Time) {
	found := m[key]
	if found == nil || now.Sub(found.lastNeededAt) > loadTime {
		found = &missingModel{since: now}
		m[key] = found
	}
	found.lastNeededAt = now
}

// forgetUnneeded drops the models that nothing has needed since a time.
func (m missingModels) forgetUnneeded(since time.Time) {
	for key, model := range m {
		if model.lastNeededAt.Before(since) {
			delete(m, key)
		}
	}
}

// remainingLoad returns how long the load that a request waits for still takes if it began when the model was first needed here, 0 if
// the model is loaded somewhere. A missing adapter of a loaded model counts as 0: it is loaded in milliseconds.
func (m *Matcher) remainingLoad(request *Request, now time.Time) time.Duration {
	key := request.baseModelKey()
	missing := m.missing[key]
	if !request.modelNotLoaded || missing == nil || len(m.index.Hosts(key.backend, key.model)) > 0 {
		return 0
	}
	return max(m.loadTime(key)-now.Sub(missing.since), 0)
}

// loadTime returns the configured time to load a model, 0 if the model is not configured.
func (m *Matcher) loadTime(key modelKey) time.Duration {
	if m.snapshot.Table == nil {
		return 0
	}
	_, number, known := m.snapshot.Table.Backend(key.backend)
	if !known {
		return 0
	}
	model, known := m.snapshot.Table.Model(number, key.model)
	if !known {
		return 0
	}
	return time.Duration(model.LoadTimeS * float64(time.Second))
}

func inMs(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
