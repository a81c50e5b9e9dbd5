// Package keystoresim simulates members of the keystore for tests: machines with disks that lose what is not synced, links
// that are cut, slow or lossy, processes that are killed and machines that freeze, in fake time and by seed.
//
// It drives the real keystore.Acceptor and keystore.Store, and must run inside testing/synctest. Everything random is
// drawn from the seed, so a schedule that fails is replayed by its seed alone. It is used by tests only. Start reading
// with Cluster, then Fault.
package keystoresim
