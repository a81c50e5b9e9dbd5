// Package simulation runs holders of the placement lease against replicas: what holders know of replicas (replicastate), what
// they plan (placement) and how they hold the lease (lease) is the real code; clock, network, replicas and the store of the
// lease are simulated. A schedule names the faults of a run, so that one seed is one run. Invariants are checked whenever an
// order arrives, and once all faults are over everything wanted must get loaded.
//
// The node's planning loop is a copy of what package controlplane/scheduler does with one replica; whole nodes are tested in
// package test/integration. Start reading at simulate.
package simulation
