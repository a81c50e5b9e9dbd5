// Package lease implements a singleton role: a duty that only one control plane may perform at a
// time, guarded by a lease that a majority of the keystore's members grants.
//
// All deadlines are taken from the holder's monotonic clock, never from the time of day, so a clock
// that is stepped or a machine that is suspended cannot extend a lease. The package never renews a
// lease that has expired and doesn't elect a successor: a lease that isn't renewed is simply acquired
// by another control plane. It has no background goroutine; the caller decides when to acquire and renew.
//
// Start reading at Manager.Acquire.
package lease
