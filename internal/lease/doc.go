// Package lease implements leases for singleton roles, which only one control plane may perform at a time. A lease is granted
// by a majority of the keystore's members.
//
// All deadlines are readings of the holder's monotonic clock, never of the wall clock, so that a clock step or a suspended
// machine cannot extend a lease. The package never renews an expired lease and elects no successor: a lease that is not
// renewed can be acquired by any control plane. It starts no goroutine; the caller decides when to acquire and renew.
//
// Start reading at Manager.Acquire.
package lease
