// Package autoscale decides how many replicas of a backend each zone should have.
//
// The number needed follows from the demand alone: enough memory for the copies of all models in demand, as many copies of each
// as its requests keep busy, and enough slots for all requests together. Replicas are added as soon as they are needed, but
// removed only after a lasting surplus and in steps, since a removed replica loses its loaded models, and a new one takes time
// to start and to load them.
//
// The package performs no IO, reads no clock and does not consider prices. Start reading at Planner.Plan.
package autoscale
