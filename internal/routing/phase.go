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
	featureMove    = featureUncached // ms that the move takes on an idle link
	featureFarMove = featureAffinity // 1 if the move crosses zones
)

// stepKey names a latency model that all replicas of a phase share.
type stepKey struct {
	backend string
	phase   discovery.Phase
	step    servingStep
}

// weightLimits bound one weight of a step's model. A feature whose weight is limited to 0 is not used.
type weightLimits struct {
	start, least, most float64
}

// stepWeights are the weights that the models of the steps may have, by feature. What a
// weight stands for bounds it: without limits, a regression over a few hundred requests of a loaded fleet takes the waiting of
// some for the cost of others.
var stepWeights = [stepCount][featureCount]weightLimits{
	stepPrefill: {
		featureBase:     {start: 25, least: 5, most: 100},
		featureUncached: {start: 40, least: 10, most: 200},
		featurePending:  {start: 30, least: 0, most: 200},
	},
	stepDecode: {
		featureBase:        {start: 15, least: 5, most: 100},
		featureMove:        {start: 1, least: 0.5, most: 20},
		featureUtilization: {start: 40, least: 0, most: 400},
		featurePending:     {start: 30, least: 0, most: 200},
		featureFarMove:     {start: 4, least: 0, most: 100},
	},
	stepWhole: {
		featureBase:        {start: 25, least: 5, most: 100},
		featureUncached:    {start: 80, least: 20, most: 400},
		featureUtilization: {start: 40, least: 0, most: 400},
		featurePending:     {start: 60, least: 0, most: 400},
	},
}

// startSharedCovariance is the initial diagonal of a shared model's covariance: it sees enough requests to learn slowly, and
// decides between ways to serve a request from the first one on.
const startSharedCovariance = 0.5

// stepModel predicts the latency of a step by those features that its weights have limits for.
type stepModel struct {
	predictor *Predictor
	limits    *[featureCount]weightLimits
}

// newStepModel returns a model with the starting weights of its step.
func newStepModel(of servingStep) *stepModel {
	model := &stepModel{predictor: NewPredictor(), limits: &stepWeights[of]}
	model.predictor.weights = Features{}
	for index := range featureCount {
		model.predictor.weights[index] = model.limits[index].start
		model.predictor.covariance[index][index] = startSharedCovariance
	}
	return model
}

// used returns the features without those that the model doesn't use.
func (s *stepModel) used(features Features) Features {
	for index := range features {
		if s.limits[index].most == 0 {
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

// observe learns from one measured latency in ms.
func (s *stepModel) observe(features Features, latencyMs float64) {
	s.predictor.Observe(s.used(features), latencyMs)
	for index, limits := range s.limits {
		weight := &s.predictor.weights[index]
		*weight = min(max(*weight, limits.least), limits.most)
	}
}

// perThousand returns the learned time, in ms, that a thousand uncached tokens add.
func (s *stepModel) perThousand() float64 { return s.predictor.weights[featureUncached] }

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

// stepModels are the models that all replicas of a phase share. With hundreds of replicas behind as many data planes, each pair
// of them meets too seldom for a model of its own: what is learned of one replica is only its slowness against the shared one.
type stepModels map[stepKey]*stepModel

// at returns the model of a step, a new one if there is none yet.
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

// stepKeyOf names the latency model of a step at a replica.
func stepKeyOf(replica *Replica, of servingStep) stepKey {
	return stepKey{backend: replica.Backend, phase: replica.Phase, step: of}
}

// predictStep returns the predicted latency of a step in ms, and that at an idle replica.
func (n *replicaNode) predictStep(of servingStep, features *Features) (predictedMs, idleMs float64) {
	model := n.models[of]
	slowness := n.state.slowness.factor[of]
	idle := *features
	idle[featurePending], idle[featureUtilization] = 0, 0
	return model.latency(*features) * slowness, model.latency(idle) * slowness
}
