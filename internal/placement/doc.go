// Package placement decides which models and adapters are loaded at which replicas, and what is unloaded to make room for them.
// Plan is a pure function of a View: what the replicas have loaded, the demand, and how many loads the model store allows now.
//
// The package performs no IO, reads no clock and keeps no state between plans except what the caller carries over in the View.
// It sends no orders: the control plane's scheduler carries the actions out, one at a time per replica, and reports their
// results in the next View. A plan never loads an item that does not fit, never unloads the last copy of a model in demand, and
// never exceeds the rate of the model store.
//
// In this package, a server is a replica of a backend, an item is a model or an adapter, and a copy is an item that is loaded at
// a server. Within a plan, items are identified by number (see itemTable) and servers by position.
//
// Start reading at View (input and output of a plan), Plan and planner.plan (its steps in order), and planner (its state). The
// steps are:
//
//   - intents.go loads models for which earlier plans freed memory;
//   - adapters.go and adaptereviction.go load adapters;
//   - hotcopies.go adds copies of models in high demand;
//   - missing.go loads models that requests wait for and that are loaded nowhere;
//   - contexteviction.go unloads models whose cached context must be evicted (docs/design/retention.md);
//   - restore.go loads models that a server still has on its disk.
//
// The steps share addcopy.go (the cheapest server for one more copy), evict.go and victims.go (what may be unloaded, and at what
// cost), memory.go (what fits; every load passes through planner.load) and sizehistory.go (sizes that the configuration no longer
// gives). forecast.go plans after the loss of zones (docs/design/rehearsal.md).
//
// The IEMAS paper, which package routing follows, does not cover placement; this policy is the project's own and is described
// in docs/design/placement.md.
package placement
