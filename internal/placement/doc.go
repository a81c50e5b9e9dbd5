// Package placement decides which model or adapter is loaded at which replica, and what is unloaded
// for it. Plan is a pure function of a View: what the replicas hold, what is asked for, and what may be
// ordered now.
//
// It performs no input or output and keeps no state between plans but what the caller carries over
// in the View. It sends no load or unload: the control plane's scheduler carries the actions out,
// one at a time for each replica, and reports the results in the next View. It never loads what does
// not fit, never takes the last copy of a model in demand, and stays within the rate of loads
// from the store.
//
// Where to start reading: view.go (what a plan is made from, and what comes out), plan.go (the steps
// of a plan in their sequence), demand.go (how many copies a model needs, and which is the more
// urgent), room.go (what fits; every load is recorded there) and sizebook.go (sizes of what the
// configuration no longer names). Then the steps: intents.go (room made earlier), adapters.go and
// adapterroom.go, addcopy.go and hotcopies.go (copies), evict.go (what is unloaded), evictcontext.go
// (cached context that must go, docs/design/retention.md). planner.go and index.go hold the indexes of one
// plan, catalog.go those of a configuration, forecast.go the plan after a loss (docs/design/rehearsal.md).
//
// The IEMAS paper that package match follows has no placement; this policy is the project's own and
// is described in docs/design/placement.md.
package placement
