// Package quota holds the limits of tenants over all data planes together: every data plane lends its
// share of the limits to a few others, the homes of a group of tenants, which pool what they are lent in
// token buckets and give tokens to the data planes that requests come to. See docs/design/quota.md.
//
// Everything in it is pure: times, names and messages are arguments, all times of one process come from
// its steady clock, and nothing is sent. No type is safe for concurrent use. Start reading at Pool and Lender.
package quota
