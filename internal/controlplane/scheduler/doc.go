// Package scheduler places models and adapters on replicas while this node holds the placement lease.
//
// Three goroutines share the work. LeaseElector takes, renews and releases the lease. The load budget writes its reservations
// into the lease's record. Scheduler.Run is the planning loop: each turn brings the demand up to date and calls syncOnce,
// which follows the platform's list, polls replicas for reports, plans and sends orders. Calls to replicas run in the
// background, on goroutines of their own; their results come back to the planning loop as callbacks, so that what is known of
// replicas needs no lock.
//
// Each part owns its state:
//
//   - LeaseElector: the grant of the lease. Any goroutine may use it.
//   - DemandView: what the data planes ask for. Any goroutine may use it.
//   - CopyAges: since when each replica has had a model loaded. Any goroutine may use it.
//   - loadBudget: the loads from the store of weights that may still start. Any goroutine may use it.
//   - replicatracker.Tracker: what is known of replicas and their orders. The planning loop alone uses it, as all below.
//   - orderSender and reportPoller: the calls to replicas.
//   - contextEviction: the work on purging cached context.
//   - currentConfiguration, planPacer, observationPublisher: the newest configuration, when to plan, what was published.
//
// The package sends no order without a grant that lasts long enough, and none under another grant than it was decided under.
// It never decides which replica a request goes to. Start reading at Scheduler.Run.
package scheduler
