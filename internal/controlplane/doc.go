// Package controlplane is the control-plane daemon. It keeps the configuration, the zones'
// evacuations, drills and context rules in the replicated key store, pushes news of them and of the
// replicas to the data planes, sums up the loads they report, and, in the one daemon that holds the
// placement lease, tells replicas what to load and unload.
//
// It never serves clients' requests and never decides which replica a request goes to; that is the
// data planes' part. It does not answer from state that a majority has not confirmed lately, and
// sends no instruction to a replica without a lease that lasts long enough.
//
// Start reading at New and Node.Run. Package scheduler places models while this node holds the lease; package watch is what
// data planes are sent, package demand what they report.
package controlplane
