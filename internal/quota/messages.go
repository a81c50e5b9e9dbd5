package quota

// Stamp is a moment of the steady clock of one life of a home, in nanoseconds since the life began.
type Stamp struct {
	Incarnation string `json:"life"`
	At          int64  `json:"at"`
}

// Loan is a share of the limits of a group of tenants. Homes is how many homes the lender divides its share
// of the group between. Moved says that it comes from a home that released it, and so brings no tokens with it. IdleMs is
// how long nobody could use it before.
type Loan struct {
	Group       int     `json:"g"`
	Share       float64 `json:"s"`
	HomeShards  int     `json:"h"`
	Transferred bool    `json:"m,omitempty"`
	IdleMs      int64   `json:"i,omitempty"`
}

// LendRequest lends shares to a home until a term after the stamp, in place of what the same life of
// the lender lent to it before. Daemon is the name of the lending data plane, Lender that of its life; Number rises with
// each request of a life.
type LendRequest struct {
	DataPlane         string `json:"daemon"`
	LenderIncarnation string `json:"lender"`
	Sequence          uint64 `json:"number"`
	Stamp             Stamp  `json:"stamp,omitzero"`
	Loans             []Loan `json:"loans,omitempty"`
}

// LendReply tells the home's present stamp, which the next request must name. Released says that this life of the home
// has nothing of the lender any more and will take nothing.
type LendReply struct {
	Stamp    Stamp `json:"stamp"`
	Released bool  `json:"released,omitempty"`
}

// BorrowRequest asks a home for tokens of a tenant.
type BorrowRequest struct {
	Tenant string `json:"tenant"`
	Want   int    `json:"want"`
}

// BorrowReply gives tokens. RetryAfterMs is how long none will be left, where fewer were given than wanted. Unable says that
// the home can't tell what the tenant may send: it doesn't know it, or nothing is lent to it
// yet, or too little so shortly after the first loan.
type BorrowReply struct {
	Tokens       int   `json:"tokens"`
	RetryAfterMs int64 `json:"retryMs,omitempty"`
	Unavailable  bool  `json:"unable,omitempty"`
}
