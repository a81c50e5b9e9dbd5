// Package simulation tests holders of the placement lease together with replicas. The code that tracks replicas
// (replicastate), plans loads (placement) and holds the lease (lease) is real; clock, network, replicas and the store of the
// lease are simulated. A schedule lists the faults of a run and contains the seed, so each run can be replayed. Invariants are
// checked whenever an order arrives. After the last fault, everything that is wanted must become loaded.
//
// The node's planning loop is a copy of what package controlplane/scheduler does with one replica. Package test/integration
// tests whole nodes. Start reading at simulate.
package simulation
