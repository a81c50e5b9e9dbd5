// Package keystoresim simulates members of the keystore for tests: machines with disks that lose what is not synced,
// links that are cut, slow or lossy, processes that are killed and machines that freeze, in fake time and by seed.
//
// It is used by tests only and drives the real keystore.Acceptor and keystore.Store. Start reading with Cluster.
package keystoresim
