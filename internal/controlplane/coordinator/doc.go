// Package coordinator executes the coordination calls of applications (locks, counters and key groups) on the control plane's
// keystore.
//
// Each item (internal/coordination) is owned by one control-plane node at a time. Router forwards a call to the owner, or to
// another node if the owner does not answer. Executor executes calls at the owner and batches those on the same item.
// GroupWatcher serves watches on a group from a cache of its recent puts at each node that has watches on it. Start reading at
// Router.Do.
package coordinator
