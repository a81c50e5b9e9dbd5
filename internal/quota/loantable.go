package quota

import "time"

// loanKey identifies a loan by the lender's incarnation and the group.
type loanKey struct {
	incarnation string
	group       int
}

// loan is a share of a group that a lender has lent. Its share is zero once it has ended; it is then kept for a while, because
// sequence and seededAt are still needed.
type loan struct {
	sequence   uint64
	share      float64
	homeShards int
	expiresAt  time.Time
	// seededAt is when seed tokens were last added for the loan, zero if never.
	seededAt time.Time
}

// loanTable holds the loans of a pool.
type loanTable struct {
	loans map[loanKey]*loan
	// nextExpiry is the earliest expiry of a loan in force, zero if there is none.
	nextExpiry time.Time
}

// newLoanTable returns an empty table.
func newLoanTable() loanTable { return loanTable{loans: map[loanKey]*loan{}} }

// find returns a loan, nil if there is none.
func (t *loanTable) find(key loanKey) *loan { return t.loans[key] }

// add returns a new loan without a share.
func (t *loanTable) add(key loanKey) *loan {
	added := &loan{}
	t.loans[key] = added
	return added
}

// totalShare returns the sum of the loans of a group. It is capped to the part of the limits that all lenders together give to
// one home shard, since lenders that count too few data planes could otherwise exceed the limits in sum.
func (t *loanTable) totalShare(group int) float64 {
	sum, limit := 0.0, 0.0
	for key, loan := range t.loans {
		if key.group == group && loan.share > 0 {
			sum += loan.share
			limit = max(limit, 1/float64(max(loan.homeShards, 1)))
		}
	}
	return min(sum, limit)
}

// hasExpired reports whether the term of a loan in force is over.
func (t *loanTable) hasExpired(now time.Time) bool {
	return !t.nextExpiry.IsZero() && !now.Before(t.nextExpiry)
}

// endExpired ends the loans whose term is over at the given time.
func (t *loanTable) endExpired(now time.Time) {
	for _, loan := range t.loans {
		if loan.share > 0 && !now.Before(loan.expiresAt) {
			loan.share = 0
		}
	}
}

// dropEnded drops the loans that ended before the given time.
func (t *loanTable) dropEnded(before time.Time) {
	for key, loan := range t.loans {
		if loan.share == 0 && loan.expiresAt.Before(before) {
			delete(t.loans, key)
		}
	}
}

// updateNextExpiry recomputes nextExpiry.
func (t *loanTable) updateNextExpiry() {
	t.nextExpiry = time.Time{}
	for _, loan := range t.loans {
		if loan.share > 0 && (t.nextExpiry.IsZero() || loan.expiresAt.Before(t.nextExpiry)) {
			t.nextExpiry = loan.expiresAt
		}
	}
}
