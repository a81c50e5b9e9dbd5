// Package roster keeps the platform's list of replicas in sync on all control-plane nodes. The node that
// holds the placement lease reads the list from the platform and sends each change to the others. A node
// whose list is stale fetches it from another node or reads it from the platform itself.
//
// The package decides nothing about replicas: what the lease holder has learned about them from later
// reports, and which models it cordons, comes from its Placement. Nothing is stored on disk. Start reading
// at Roster.Run, then Roster.HandleUpdate for the receiving side.
package roster
