// Package roster keeps the platform's list of replicas that all control-plane nodes share. The node that
// holds the placement lease reads the list from the platform and sends each change to the others; any
// node whose list grows stale reads it itself.
//
// It decides nothing about replicas: what the lease holder knows of them from later reports, and which it
// cordons, comes from its Placement. It keeps nothing on disk. Start reading at Roster.Run, then
// Roster.HandleUpdate for the receiving side.
package roster
