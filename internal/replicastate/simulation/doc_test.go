// Package simulation plays holders of the placement lease against replicas: what holders know of replicas
// (replicastate), what they plan (place) and how they hold the lease (lease) is the real code; clock, network, replicas
// and the store of the lease are simulated. A schedule names the troubles of a play, so that one seed is one play.
// Rules are checked whenever an order arrives, and once all troubles are over everything wanted must get loaded.
//
// The daemon's loop is a copy of what the scheduler of package controlplane does with one replica; whole daemons are
// tested in package story. Start reading at play.
package simulation
