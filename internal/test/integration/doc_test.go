// Package integration tests whole nodes. A fleet of control-plane nodes ("cores") and data planes ("edges"), with the
// same Run functions as the real programs, runs in one process over an in-memory network and in-memory disks. Every test
// runs inside synctest.Test, so that its clock is fake: minutes of fleet time pass in a moment, and time.Sleep lets the
// fleet work.
//
// A test
//
//  1. starts a fleet: startSettledFleet gives one with a configuration (document) in force; startFleetOf only starts nodes;
//  2. adds stand-in replicas (newStandInReplica), which run requests and orders and record both;
//  3. injects faults: kill, terminate, wipe and losePower for machines; partition, delay, blackhole and freeze of the
//     memoryNetwork for paths; setFailureMode for replicas;
//  4. sends requests (request, startTraffic) or changes of the configuration (putConfiguration, operators), and asserts
//     on the replies and on what the replicas have recorded.
//
// Nothing here opens a socket or writes a file. Tests with many cases run a sample of them; with FERRYSPAR_SWEEP set in
// the environment they run all.
//
// Start with serving_test.go for the tests and fleet_test.go for the fleet. Longer scenarios keep their steps in files
// of their own: bootstrap_scenario_test.go, loss_scenario_test.go, partition_scenario_test.go.
package integration
