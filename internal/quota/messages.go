package quota

// Stamp is a moment of the clock of one incarnation of a home shard, in nanoseconds since that started. A lender sends
// it back, so that the home shard counts the term of a loan from a moment before the loan was sent.
type Stamp struct {
	Incarnation string `json:"life"`
	At          int64  `json:"at"`
}

// Loan is a share of the limits of a group of tenants.
type Loan struct {
	Group int     `json:"g"`
	Share float64 `json:"s"`
	// HomeShardCount is how many home shards the lender divides its share of the group between.
	HomeShardCount int `json:"h"`
	// Transferred reports that the share comes from a home shard that released it, which may have given tokens for
	// it. It brings no tokens with it, since they could be given twice.
	Transferred bool `json:"m,omitempty"`
	// IdleMs is for how many milliseconds nobody could use the share before.
	IdleMs int64 `json:"i,omitempty"`
}

// LendRequest lends shares to a home shard until a term after the stamp, in place of what the same incarnation of the
// lender lent to it before.
type LendRequest struct {
	// DataPlane is the name of the lending data plane, LenderIncarnation that of its process.
	DataPlane         string `json:"daemon"`
	LenderIncarnation string `json:"lender"`
	// Sequence rises with each request of an incarnation. Requests that arrive out of order are recognised by it.
	Sequence uint64 `json:"number"`
	Stamp    Stamp  `json:"stamp,omitzero"`
	Loans    []Loan `json:"loans,omitempty"`
}

// LendReply carries the home shard's present stamp, which the next request must name.
type LendReply struct {
	Stamp Stamp `json:"stamp"`
	// Released reports that this incarnation of the home shard holds nothing of the lender any more and will
	// accept nothing.
	Released bool `json:"released,omitempty"`
}

// BorrowRequest asks a home shard for tokens of a tenant.
type BorrowRequest struct {
	Tenant string `json:"tenant"`
	// Tokens is how many tokens are requested.
	Tokens int `json:"want"`
	// HoldMs is for how many milliseconds the home shard may hold the request where it would be unavailable otherwise.
	HoldMs int64 `json:"holdMs,omitempty"`
}

// BorrowReply gives tokens.
type BorrowReply struct {
	Tokens int `json:"tokens"`
	// HeldMs is for how many milliseconds the request was held before the tokens were given.
	HeldMs int64 `json:"heldMs,omitempty"`
	// RetryAfterMs is for how many milliseconds no token will be available, if fewer were given than requested.
	RetryAfterMs int64 `json:"retryMs,omitempty"`
	// Unavailable reports that the home shard cannot tell what the tenant may send: it doesn't know the tenant, or
	// nothing is lent to it yet, or too little so shortly after the first loan.
	Unavailable bool `json:"unable,omitempty"`
}
