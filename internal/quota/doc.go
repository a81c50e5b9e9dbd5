// Package quota enforces the rate limits of tenants over all data planes together, without a round trip for every
// request.
//
// Each data plane owns an equal share of every limit. Tenants are divided into groups, and each group has a few home
// shards: data planes that pool the shares of the group. Each data plane has three components:
//
//   - The Lender lends the data plane's share of each group to the group's home shards. It records the shares that may
//     still be leased, so that no part of a share is in force at two home shards at once.
//   - The Pool implements the home shard: it holds the shares lent to it and the token buckets that they fill.
//   - The Borrower admits requests: it borrows tokens of a tenant from the home shards of the tenant's group and
//     spends them.
//
// All times of one process are readings of its monotonic clock. Times of different processes are never compared; a Stamp
// is interpreted only by the home shard that issued it. The package does no input or output: times, names and messages
// are arguments. No type is safe for concurrent use.
//
// Start reading at Pool and Lender. docs/design/quota.md argues why no window has more requests than allowed.
package quota
