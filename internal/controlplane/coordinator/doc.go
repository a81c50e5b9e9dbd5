// Package coordinator carries out the calls by which applications coordinate, on the keystore of the control plane.
//
// Each item (internal/coordination) has one owner at a time. Router sends a call to the owner, and to another control plane if that
// one does not answer. Executor carries out calls at the owner, those on one item in batches. Follower keeps the recent puts of a
// group at each control plane that has watches on it. Start reading at Router.Do.
package coordinator
