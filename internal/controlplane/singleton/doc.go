// Package singleton makes the calls at the platform that only one control plane may make at a time, under the placement lease.
//
// A Role decides what is to be said; a Runner says it, one call after the other, while the lease allows that. The rules that hold for
// every role are kept here once: a call goes out only if the lease lasts long enough for it, checked right before it is sent; a new
// grant has waited out the one before it; a role whose fence the platform has refused says nothing more under that fence; the
// platform's rate is not exceeded, and unanswered calls are repeated with a growing backoff.
//
// Start reading at Runner.Run and Role.
package singleton
