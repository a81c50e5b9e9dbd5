package routing

import (
	"ferryspar/internal/discovery"
)

// servingStep is the part of a request that a replica serves. Each step has a latency model of its own.
type servingStep int

const (
	stepFull    servingStep = iota // prefill and decode at one replica
	stepPrefill                    // prefill only
	stepDecode                     // transfer of the prompt's KV cache, and decode
	stepCount
)

// Positions in the Features of stepDecode.
const (
	featureTransfer  = featureUncached // ms that the KV cache transfer takes on an idle link
	featureCrossZone = featureAffinity // 1 if the transfer crosses zones
)

// stepKey is the key of a latency model that all replicas of a phase share.
type stepKey struct {
	backend string
	phase   discovery.Phase
	step    servingStep
}

// weightLimits bound one weight of a step's model. A feature whose weight is limited to 0 is not used.
type weightLimits struct {
	initial, lower, upper float64
}

// stepWeights are the limits of the steps' model weights, by feature, chosen by the physical meaning of each weight: without
// limits, a regression over a few hundred requests of a loaded fleet attributes queueing time to the other features.
var stepWeights = [stepCount][featureCount]weightLimits{
	stepPrefill: {
		featureIntercept: {initial: 25, lower: 5, upper: 100},
		featureUncached:  {initial: 40, lower: 10, upper: 200},
		featurePending:   {initial: 30, lower: 0, upper: 200},
	},
	stepDecode: {
		featureIntercept:   {initial: 15, lower: 5, upper: 100},
		featureTransfer:    {initial: 1, lower: 0.5, upper: 20},
		featureUtilization: {initial: 40, lower: 0, upper: 400},
		featurePending:     {initial: 30, lower: 0, upper: 200},
		featureCrossZone:   {initial: 4, lower: 0, upper: 100},
	},
	stepFull: {
		featureIntercept:   {initial: 25, lower: 5, upper: 100},
		featureUncached:    {initial: 80, lower: 20, upper: 400},
		featureUtilization: {initial: 40, lower: 0, upper: 400},
		featurePending:     {initial: 60, lower: 0, upper: 400},
	},
}

// initialSharedCovariance is the initial diagonal of a shared model's covariance. It is low because a shared model sees enough
// requests to learn slowly, and its predictions choose between ways to serve a request from the first request on.
const initialSharedCovariance = 0.5

// stepModel predicts the latency of a step from the features whose weights are not limited to 0.
type stepModel struct {
	predictor *Predictor
	limits    *[featureCount]weightLimits
}

// newStepModel returns a model with the initial weights of its step.
func newStepModel(of servingStep) *stepModel {
	model := &stepModel{predictor: NewPredictor(), limits: &stepWeights[of]}
	model.predictor.weights = Features{}
	for index := range featureCount {
		model.predictor.weights[index] = model.limits[index].initial
		model.predictor.covariance[index][index] = initialSharedCovariance
	}
	return model
}

// used returns the features with those that the model does not use set to 0.
func (s *stepModel) used(features Features) Features {
	for index := range features {
		if s.limits[index].upper == 0 {
			features[index] = 0
		}
	}
	return features
}

// latency returns the predicted latency in ms, at least 1.
func (s *stepModel) latency(features Features) float64 {
	// Weights of features that are not used are 0.
	return s.predictor.Latency(features)
}

// observe updates the weights with one measured latency in ms, within their limits.
func (s *stepModel) observe(features Features, latencyMs float64) {
	s.predictor.Observe(s.used(features), latencyMs)
	for index, limits := range s.limits {
		weight := &s.predictor.weights[index]
		*weight = min(max(*weight, limits.lower), limits.upper)
	}
}

// prefillMsPerThousand returns the learned time, in ms, to prefill a thousand uncached tokens.
func (s *stepModel) prefillMsPerThousand() float64 { return s.predictor.weights[featureUncached] }

const (
	// slownessRate is the weight of one observation in a replica's slowness; minSlowness and maxSlowness limit the observed ratio.
	slownessRate = 0.25
	minSlowness  = 0.5
	maxSlowness  = 8.0
)

// stepSlowness is the ratio of each step's latency at one replica to the average of all replicas of its phase. It is learned
// anew after each change of phase.
type stepSlowness struct {
	phase  discovery.Phase
	factor [stepCount]float64
}

// adoptPhase resets the factors if they were learned in another phase.
func (s *stepSlowness) adoptPhase(phase discovery.Phase) {
	if s.phase == phase && s.factor[stepFull] != 0 {
		return
	}
	s.phase = phase
	for index := range s.factor {
		s.factor[index] = 1
	}
}

// observe updates a factor with one measured latency and the latency that the shared model predicted, in ms.
func (s *stepSlowness) observe(of servingStep, latencyMs, expectedMs float64) {
	ratio := min(max(latencyMs/expectedMs, minSlowness), maxSlowness)
	s.factor[of] += slownessRate * (ratio - s.factor[of])
}

// stepModels are the models that all replicas of a phase share. With hundreds of replicas and as many data planes, one data
// plane sends too few requests to each replica to train a model for it: only the replica's slowness relative to the shared
// model is learned.
type stepModels map[stepKey]*stepModel

// at returns the model of a step, creating it if necessary.
func (s stepModels) at(key stepKey) *stepModel {
	if s[key] == nil {
		s[key] = newStepModel(key.step)
	}
	return s[key]
}

// fork copies the models.
func (s stepModels) fork() stepModels {
	fork := make(stepModels, len(s))
	for key, model := range s {
		predictor := *model.predictor
		fork[key] = &stepModel{predictor: &predictor, limits: model.limits}
	}
	return fork
}

// stepKeyOf returns the key of the latency model of a step at a replica.
func stepKeyOf(replica *Replica, of servingStep) stepKey {
	return stepKey{backend: replica.Backend, phase: replica.Phase, step: of}
}

// predictStep returns the predicted latency of a step in ms.
func (n *replicaNode) predictStep(of servingStep, features *Features) float64 {
	return n.models[of].latency(*features) * n.state.slowness.factor[of]
}
