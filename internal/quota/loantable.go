package quota

import "time"

// loanKey names the loan of one incarnation of a lender of one group.
type loanKey struct {
	incarnation string
	group       int
}

// loan is what a lender lent. It is kept for a while after its end for its sequence and seededAt.
type loan struct {
	sequence   uint64
	share      float64
	homeShards int
	expiresAt  time.Time
	// seededAt is when the loan last brought tokens with it, zero if never.
	seededAt time.Time
}

// loanTable holds the loans of a pool.
type loanTable struct {
	loans map[loanKey]*loan
	// nextExpiry is the earliest end of a loan that is in force, zero if none is.
	nextExpiry time.Time
}

func newLoanTable() loanTable { return loanTable{loans: map[loanKey]*loan{}} }

// find returns a loan, nil if there is none.
func (t *loanTable) find(key loanKey) *loan { return t.loans[key] }

// add returns a new loan without a share.
func (t *loanTable) add(key loanKey) *loan {
	added := &loan{}
	t.loans[key] = added
	return added
}

// totalShare sums what is lent of a group. It is never more than the part that a lender gives to one home shard, so
// that lenders that count too few data planes don't add up to more than the limit.
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

// hasExpired reports whether a loan in force is over.
func (t *loanTable) hasExpired(now time.Time) bool {
	return !t.nextExpiry.IsZero() && !now.Before(t.nextExpiry)
}

// endExpired ends the loans that are over at a moment.
func (t *loanTable) endExpired(now time.Time) {
	for _, loan := range t.loans {
		if loan.share > 0 && !now.Before(loan.expiresAt) {
			loan.share = 0
		}
	}
}

// dropEnded drops the loans that ended before a moment.
func (t *loanTable) dropEnded(before time.Time) {
	for key, loan := range t.loans {
		if loan.share == 0 && loan.expiresAt.Before(before) {
			delete(t.loans, key)
		}
	}
}

func (t *loanTable) updateNextExpiry() {
	t.nextExpiry = time.Time{}
	for _, loan := range t.loans {
		if loan.share > 0 && (t.nextExpiry.IsZero() || loan.expiresAt.Before(t.nextExpiry)) {
			t.nextExpiry = loan.expiresAt
		}
	}
}
