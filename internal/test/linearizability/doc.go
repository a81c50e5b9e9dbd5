// Package linearizability tests the linearizability of the control state under faults.
//
// Its tests run seeded schedules of operators' calls and faults against the production acceptors, stores, control state and
// membership decisions, on the simulated machines of internal/test/keystoresim. A checker then verifies the recorded
// history of calls. Start reading with schedule in schedule_test.go, then simulation_test.go and model_test.go;
// docs/design/hardening-histories.md has the overview.
package linearizability
