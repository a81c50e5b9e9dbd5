// Package scheduler places models and adapters on replicas while this node holds the placement lease.
//
// Three goroutines share the work. LeaseElector acquires, renews and releases the lease. The load budget writes its reservations
// to the lease record. Scheduler.Run is the planning loop: each iteration updates the demand and calls syncOnce, which applies
// the platform's replica list, polls replicas for reports, plans, and sends orders. Calls to replicas run on background
// goroutines; their results return to the planning loop as callbacks, so that replica state needs no lock.
//
// Each component owns its state:
//
//   - LeaseElector: the current lease grant. Safe for concurrent use.
//   - DemandView: the demand reported by the data planes. Safe for concurrent use.
//   - CopyAges: how long each replica has had each model loaded. Safe for concurrent use.
//   - loadBudget: how many loads from the model store may still start. Safe for concurrent use.
//   - replicatracker.Tracker: the state of replicas and their orders. Like everything below, used only by the planning loop.
//   - orderSender and reportPoller: the calls to replicas.
//   - contextEviction: the eviction of cached context, on request or at the end of its lifetime.
//   - currentConfiguration, planPacer, observationPublisher: the current configuration, when to plan, what was published.
//
// An order is sent only while the grant that it was decided under is still held and remains valid for long enough.
// The package does not route requests to replicas. Start reading at Scheduler.Run.
package scheduler
