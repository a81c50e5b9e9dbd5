// Package members keeps a control-plane node in contact with the others and carries its part of
// changes of the keystore's membership: heartbeats, joining (catching up until the node votes),
// replacing lost members, bootstrap, and leaving.
//
// It decides nothing about when the membership should change: that is internal/membership, from the
// View kept here. A change is committed under the membership key of the keystore by joint majorities,
// so that nodes that disagree can't harm the state. Start reading at Manager.Run.
package members
