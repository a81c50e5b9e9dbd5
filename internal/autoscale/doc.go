// Package autoscale decides how many replicas of a backend each zone should have.
//
// What is needed follows from the demand alone: enough replicas for the copies of all models that are asked for, as many copies of
// each as its requests keep busy, and enough slots for all requests together. A shortfall is ordered at once; a surplus only after it
// has lasted, and in steps, since a removed replica takes its loaded models along and a new one needs time to start and to load.
//
// Decisions are pure: state and time are arguments, and prices are not known. Start reading at Planner.Plan.
package autoscale
