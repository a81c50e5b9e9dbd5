package routing

import (
	"ferryspar/internal/discovery"
)

// servingStep is what a replica does of a request. Each has a latency model of its own.
type servingStep int

const (
	stepWhole   servingStep = iota // the prompt is read and tokens are made at one replica
	stepPrefill                    // the prompt is read
	stepDecode                     // the memory of the prompt is fetched and tokens are made
	stepCount
)

// Positions in the Features of stepDecode.
const (
	featureMove     = featureUncached // ms that the move takes on an idle link
	featureFarMove  = featureAffinity // 1 if the move crosses zones
	startMoveBaseMs = 12.0            // set-up of the move and the first token
	startFarMoveMs  = 4.0
)

// stepKey names a latency model that all replicas of a phase share.
type stepKey struct {
	backend string
	phase   discovery.Phase
	step    servingStep
}

// newDecodePredictor returns a predictor of the time from the request to the first token of stepDecode.
func newDecodePredictor() *Predictor {
	predictor := NewPredictor()
	predictor.weights = Features{
		featureBase:        startMoveBaseMs,
		featureMove:        1,
		featureUtilization: startInflightMs,
		featurePending:     startPendingMsPerThousand / 2,
		featureFarMove:     startFarMoveMs,
	}
	return predictor
}

// decodeReadFactor is how much longer a decode replica reads a prompt than a prefill replica: by the replicas' protocol it
// reads at half the pace.
const decodeReadFactor = 2

// newDecodeAlonePredictor returns a predictor of the time to the first token at a decode replica that reads the prompt itself.
func newDecodeAlonePredictor() *Predictor {
	predictor := NewPredictor()
	predictor.weights[featureUncached] *= decodeReadFactor
	predictor.weights[featurePending] *= decodeReadFactor
	return predictor
}

const (
	// slownessRate is the weight of one observation in a replica's slowness; minSlowness and maxSlowness bound the observation.
	slownessRate = 0.25
	minSlowness  = 0.5
	maxSlowness  = 8.0
)

// stepSlowness is how much longer each step takes at one replica than at the replicas of its phase on average, learned while
// it has that phase.
type stepSlowness struct {
	phase  discovery.Phase
	factor [stepCount]float64
}

// adoptPhase forgets what was learned in another phase.
func (s *stepSlowness) adoptPhase(phase discovery.Phase) {
	if s.phase == phase && s.factor[stepWhole] != 0 {
		return
	}
	s.phase = phase
	for index := range s.factor {
		s.factor[index] = 1
	}
}

// observe learns from one measured latency and the one that all replicas of the phase lead to expect, in ms.
func (s *stepSlowness) observe(of servingStep, latencyMs, expectedMs float64) {
	ratio := min(max(latencyMs/expectedMs, minSlowness), maxSlowness)
	s.factor[of] += slownessRate * (ratio - s.factor[of])
}

// sharedPredictors are latency models that the replicas of a phase share. With hundreds of replicas behind as many data
// planes, each pair of them meets too seldom for a model of its own: what is learned of one replica is only its slowness
// against the shared model.
type sharedPredictors map[stepKey]*Predictor

// at returns the model of a step, a new one if there is none yet.
func (s sharedPredictors) at(key stepKey) *Predictor {
	if s[key] == nil {
		s[key] = newStepPredictor(key)
	}
	return s[key]
}

// startSharedCovariance is the initial diagonal of a shared model's covariance: it sees enough requests to learn slowly, and
// decides between ways to serve a request from the first one on.
const startSharedCovariance = 0.5

// newStepPredictor returns a model with the starting weights of its step.
func newStepPredictor(key stepKey) *Predictor {
	predictor := NewPredictor()
	switch {
	case key.step == stepDecode:
		predictor = newDecodePredictor()
	case key.phase == discovery.PhaseDecode:
		predictor = newDecodeAlonePredictor()
	}
	for index := range predictor.covariance {
		predictor.covariance[index][index] = startSharedCovariance
	}
	return predictor
}

// fork copies the models.
func (s sharedPredictors) fork() sharedPredictors {
	fork := make(sharedPredictors, len(s))
	for key, predictor := range s {
		copied := *predictor
		fork[key] = &copied
	}
	return fork
}

const (
	// startReadMsPerThousand is taken before the first measurement.
	startReadMsPerThousand = 30.0
	// minSpeedTokens is the least prompt by which the speed of reading is measured.
	minSpeedTokens = 512
	// speedFallRate and speedRiseRate are the weights of a faster and a slower reading than known. Slow ones are mostly those
	// that waited for others, so the speed follows the fastest.
	speedFallRate = 0.3
	speedRiseRate = 0.01
)

// readSpeeds are the times, in ms, that an idle prefill replica takes to read a thousand tokens, by backend.
type readSpeeds map[string]float64

// observe learns from one prompt of which so many tokens were read.
func (r readSpeeds) observe(backend string, tokens, latencyMs float64) {
	if tokens < minSpeedTokens {
		return
	}
	measured := latencyMs / tokens * tokensPerThousand
	known := r.msPerThousand(backend)
	rate := speedRiseRate
	if measured < known {
		rate = speedFallRate
	}
	r[backend] = known + rate*(measured-known)
}

// msPerThousand returns the time for a thousand tokens.
func (r readSpeeds) msPerThousand(backend string) float64 {
	if known, measured := r[backend]; measured {
		return known
	}
	return startReadMsPerThousand
}

// stepKeyOf names the latency model of a step at a replica.
func stepKeyOf(replica *Replica, of servingStep) stepKey {
	return stepKey{backend: replica.Backend, phase: replica.Phase, step: of}
}

// predictStep returns the predicted latency of a step in ms.
func (m *Matcher) predictStep(node *replicaNode, of servingStep, features Features) float64 {
	return m.shared.at(stepKeyOf(node.replica, of)).Latency(features) * node.state.slowness.factor[of]
}
