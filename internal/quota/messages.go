package quota

// Stamp is a time on the clock of one incarnation of a home shard, in nanoseconds since its start. With its loans a
// lender sends the last stamp that it received, so that the home shard counts their terms from a time before they were sent.
type Stamp struct {
	Incarnation string `json:"life"`
	At          int64  `json:"at"`
}

// Loan is a share of the limits of a group of tenants.
type Loan struct {
	Group int     `json:"g"`
	Share float64 `json:"s"`
	// HomeShardCount is the number of home shards that the lender divides its share of the group among.
	HomeShardCount int `json:"h"`
	// Transferred is set if the share was recently released by another home shard, which may have granted tokens for it. No
	// seed tokens are added then, since they could be granted twice.
	Transferred bool `json:"m,omitempty"`
	// IdleMs is how long no home shard held the share before, in milliseconds.
	IdleMs int64 `json:"i,omitempty"`
}

// LendRequest lends shares to a home shard for a term from the stamp. They replace what the same incarnation of the lender lent
// to it before.
type LendRequest struct {
	// DataPlane is the name of the lending data plane, LenderIncarnation the name of its process.
	DataPlane         string `json:"daemon"`
	LenderIncarnation string `json:"lender"`
	// Sequence increases with each request of an incarnation, so that requests that arrive out of order can be ignored.
	Sequence uint64 `json:"number"`
	Stamp    Stamp  `json:"stamp,omitzero"`
	Loans    []Loan `json:"loans,omitempty"`
}

// LendReply carries the home shard's present stamp, which the next request must contain.
type LendReply struct {
	Stamp Stamp `json:"stamp"`
	// Released is set if this incarnation of the home shard holds no loans of the lender any more and will accept none.
	Released bool `json:"released,omitempty"`
}

// BorrowRequest asks a home shard for tokens of a tenant.
type BorrowRequest struct {
	Tenant string `json:"tenant"`
	// Tokens is the number of tokens requested.
	Tokens int `json:"want"`
	// HoldMs is how long the home shard may hold the request, in milliseconds, instead of replying that it is unavailable.
	HoldMs int64 `json:"holdMs,omitempty"`
}

// BorrowReply grants tokens.
type BorrowReply struct {
	Tokens int `json:"tokens"`
	// HeldMs is how long the request was held before the tokens were granted, in milliseconds.
	HeldMs int64 `json:"heldMs,omitempty"`
	// RetryAfterMs, if fewer tokens were granted than requested, is the time until the next token, in milliseconds.
	RetryAfterMs int64 `json:"retryMs,omitempty"`
	// Unavailable is set if the home shard cannot tell whether the tenant is over its limit: the tenant is unknown, nothing is
	// lent yet, or there are too few tokens shortly after the first loan.
	Unavailable bool `json:"unable,omitempty"`
}
