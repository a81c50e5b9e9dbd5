// Package singleton makes the platform calls that only one control plane may make at a time, under the placement lease.
//
// A Role decides which call to make next; a Runner makes the calls, one after the other, while the lease allows it. The Runner
// enforces the rules common to all roles: a call is made only if the lease remains valid for long enough, which is checked
// right before sending; a new grant takes effect only after the previous one has expired; a role makes no more calls under a
// fence that the platform has rejected; the platform's rate limit is observed; and unanswered calls are retried with growing
// backoff.
//
// Start reading at Runner.Run and Role.
package singleton
