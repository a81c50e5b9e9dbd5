// Package keystoresim is a deterministic simulation of a keystore cluster for tests: disks that lose unsynced writes, links
// that are cut, slow or lossy, processes that are killed and machines that freeze, all in fake time.
//
// It runs the production keystore.Acceptor and keystore.Store, and must be used inside testing/synctest. All random choices
// are derived from a seed, so the seed alone replays a failing schedule. It is used by tests only. Start reading with
// Cluster, then Fault.
package keystoresim
