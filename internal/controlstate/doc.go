// Package controlstate decides on the calls of operators that change the control state: a whole configuration,
// a patch of named items, and the draining of a zone, each under a key of the keystore.
//
// It answers only on values that a majority of the members holds, and never notifies data planes: its caller
// does, with the register that a Change names. Calls that are repeated are recognised by a digest; see
// AppliedCalls. Start reading at State.Replace and State.DrainZone.
package controlstate
