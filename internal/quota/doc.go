// Package quota enforces the rate limits of tenants over all data planes together, without a round trip for every
// request.
//
// Each data plane owns an equal share of every limit. Tenants are divided into groups, and each group has a few home
// shards: data planes that pool the shares of the group. Three parts of a data plane take part:
//
//   - The Lender lends the data plane's share of each group to the group's home shards, and keeps a table of what it
//     may still have leased to whom, so that no part of a share is in force at two places.
//   - The Pool is the data plane as a home shard: it holds the shares lent to it, and the token buckets that they
//     fill.
//   - The Borrower admits requests: it borrows tokens of a tenant from the home shards of the tenant's group and
//     spends them.
//
// All times of one process are readings of its monotonic clock; those of different processes are compared only by way
// of a Stamp, which its home shard alone reads. Everything is pure: times, names and messages are arguments, and
// nothing is sent. No type is safe for concurrent use.
//
// Start reading at Pool and Lender. docs/design/quota.md argues why no window has more requests than allowed.
package quota
