// Package members maintains a control-plane node's contact with the other nodes and its part in membership changes of the
// keystore: heartbeats, joining (catching up until the node votes), replacing failed members, bootstrap, and leaving.
//
// When to change the membership is decided by internal/membership, from the View kept here. A change is committed under the
// membership key of the keystore by joint majorities, so that nodes with different views cannot corrupt the state. Start reading
// at Manager.Run.
package members
