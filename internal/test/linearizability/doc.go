// Package linearizability judges whole histories of the control state for linearizability.
//
// Its tests play seeded schedules of operators' calls and faults over the real acceptors, stores, control state and
// membership decisions, on the simulated machines of internal/test/keystoresim, and hand the recorded calls to a checker.
// Start reading with schedule in schedule_test.go, then simulation_test.go and model_test.go;
// docs/design/hardening-histories.md has the overview.
package linearizability
