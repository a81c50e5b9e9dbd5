// Package controlstate applies operators' calls that change the control state: replacing the configuration, patching named
// items of it, and draining a zone. The configuration and each zone have a key in the keystore.
//
// All results are based on values that a majority of the members holds. The package does not notify data planes; the caller
// does, with the register of the returned Change. Repeated calls are recognised by a digest, see AppliedCalls. Start reading
// at State.Replace and State.DrainZone.
package controlstate
