// Package placement decides which model or adapter is loaded at which replica, and what is unloaded
// to make room for it. Plan is a pure function of a View: what the replicas have loaded, what clients
// ask for, and how many loads the model store allows now.
//
// It performs no input or output and keeps no state between plans except what the caller carries over
// in the View. It sends no load or unload: the control plane's scheduler carries the actions out, one
// at a time for each replica, and reports the results in the next View. It never loads what does not
// fit, never unloads the last copy of a model in demand, and stays within the rate of the model store.
//
// In this package a server is a replica of a backend, and a copy is one model or adapter loaded at one
// server. An item is a model or an adapter; within a plan items are known by number (see itemTable)
// and servers by position.
//
// Where to start reading: view.go (input and output of a plan), plan.go (its steps in order) and
// planner.go (what a plan reads, counts and decides). The steps:
//
//   - intents.go uses memory that earlier plans freed;
//   - adapters.go and adaptereviction.go load adapters;
//   - hotcopies.go adds copies of models in high demand;
//   - missing.go loads models that are waited for and loaded nowhere;
//   - contexteviction.go unloads models whose cached context must go (docs/design/retention.md);
//   - restore.go loads models again that a server still has on its disk.
//
// They share addcopy.go (the cheapest server for one more copy), evict.go (what may be unloaded and at
// what cost), memory.go (what fits; every load passes through planner.load) and sizehistory.go (sizes
// of what the configuration no longer names). forecast.go plans after the loss of zones
// (docs/design/rehearsal.md).
//
// The IEMAS paper that package routing follows has no placement; this policy is the project's own and
// is described in docs/design/placement.md.
package placement
