// Package membership decides when the membership of the keystore should change. A lost or leaving member is replaced by a
// newcomer, which is a daemon that is not a member yet. Newcomers are added while the deployment has fewer members than it
// needs for its fault tolerance. A newcomer that is lost before it has caught up is removed again.
//
// The package decides from the view of one daemon and never executes a change. Every change is committed through the membership
// key of the keystore with joint majorities, so conflicting decisions of two daemons cannot corrupt the state. All functions
// are pure. Start reading at NextChange.
package membership
