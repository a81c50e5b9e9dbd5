// Package membership decides when the membership of the keystore should change: a lost or leaving member is
// replaced by a newcomer, newcomers are added while the deployment is to survive more losses, and a newcomer
// that is lost before it has caught up is dropped again.
//
// It only decides, from the view of one daemon; it never carries out a change. Every change goes through the
// membership key of the keystore, under its joint majorities, so two daemons that decide differently at the
// same time cannot harm the state. All functions are pure. Start reading at NextChange.
package membership
