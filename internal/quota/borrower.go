package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Borrower is the part of a data plane that admits requests: it holds the tokens that were borrowed and what homes
// refused, by tenant.
type Borrower struct {
	parameters Parameters
	dataPlane  string
	accounts   map[string]*account
	// silent holds the homes that gave no answer, and when they are asked again.
	unresponsiveUntil map[string]time.Time
}

// account is what a data plane holds of one tenant.
type account struct {
	tokens    int
	expiresAt time.Time
	// refused tells when homes are asked again that had no token. Until denied one of them had none because the tenant
	// is beyond its limit.
	rejectedUntil  map[string]time.Time
	overLimitUntil time.Time
	// recent counts the requests since the moment, the last ones of the span before in earlier.
	requests, previousRequests int
	countingSince              time.Time
}

// NewBorrower returns a borrower of a data plane without tokens.
func NewBorrower(parameters Parameters, daemon string) *Borrower {
	return &Borrower{parameters: parameters, dataPlane: daemon, accounts: map[string]*account{}, unresponsiveUntil: map[string]time.Time{}}
}

func (b *Borrower) account(tenant string, now time.Time) *account {
	held := b.accounts[tenant]
	if held == nil {
		held = &account{rejectedUntil: map[string]time.Time{}, countingSince: now}
		b.accounts[tenant] = held
	}
	return held
}

// Arrived counts a request of the tenant, for the number of tokens to ask for.
func (b *Borrower) RecordRequest(tenant string, now time.Time) {
	account := b.account(tenant, now)
	if passed := now.Sub(account.countingSince); passed >= b.parameters.TokenTTL {
		account.previousRequests = account.requests
		if passed >= 2*b.parameters.TokenTTL {
			account.previousRequests = 0
		}
		account.requests, account.countingSince = 0, now
	}
	account.requests++
}

// Take spends a token of the tenant, if there is one that may still be spent.
func (b *Borrower) TakeToken(tenant string, now time.Time) bool {
	account := b.accounts[tenant]
	if account == nil || account.tokens == 0 {
		return false
	}
	if !now.Before(account.expiresAt) {
		account.tokens = 0
		return false
	}
	account.tokens--
	return true
}

// Home picks the home to be asked for the tenant next: of those that didn't refuse lately the first in an order
// that differs between data planes. There is none while all refuse.
func (b *Borrower) NextHomeShard(tenant string, homeShards []string, now time.Time) (string, bool) {
	if len(homeShards) == 0 {
		return "", false
	}
	account := b.account(tenant, now)
	first := int(xxhash.Sum64String(b.dataPlane+"\x00"+tenant) % uint64(len(homeShards)))
	for offset := range homeShards {
		homeShard := homeShards[(first+offset)%len(homeShards)]
		if !now.Before(account.rejectedUntil[homeShard]) && !now.Before(b.unresponsiveUntil[homeShard]) {
			return homeShard, true
		}
	}
	return "", false
}

// Want is how many tokens to ask for with the given number of requests waiting: a busy tenant gets some more, for those
// that are likely to come within half the life of tokens.
func (b *Borrower) TokensToRequest(tenant string, waiting int, now time.Time) int {
	account := b.account(tenant, now)
	return waiting + max(account.requests, account.previousRequests)/2
}

// Answered notes what a home gave in answer to a question put at the time given.
func (b *Borrower) HandleReply(tenant, homeShard string, reply BorrowReply, requestedAt, now time.Time) {
	account := b.account(tenant, now)
	if reply.Unavailable {
		account.rejectedUntil[homeShard] = now.Add(unavailableBackoff)
		return
	}
	if reply.RetryAfterMs > 0 {
		account.overLimitUntil = now.Add(time.Duration(reply.RetryAfterMs) * time.Millisecond)
		account.rejectedUntil[homeShard] = account.overLimitUntil
	}
	until := requestedAt.Add(b.parameters.TokenTTL)
	if reply.Tokens <= 0 || !now.Before(until) {
		return
	}
	if account.tokens > 0 && now.Before(account.expiresAt) {
		account.tokens += reply.Tokens
		account.expiresAt = earliest(account.expiresAt, until)
		return
	}
	account.tokens, account.expiresAt = reply.Tokens, until
}

func earliest(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// Denied returns how much longer the tenant counts as beyond its limit, zero where it doesn't.
func (b *Borrower) OverLimitFor(tenant string, now time.Time) time.Duration {
	account := b.accounts[tenant]
	if account == nil {
		return 0
	}
	return max(account.overLimitUntil.Sub(now), 0)
}

const (
	// failureBackoff is how long a home that gave no answer isn't asked again.
	failureBackoff = 500 * time.Millisecond
	// unavailableBackoff is how long a home that can't tell of a tenant isn't asked for it again.
	unavailableBackoff = 100 * time.Millisecond
)

// Failed notes that a home gave no answer. What it may have given is lost.
func (b *Borrower) HandleFailure(homeShard string, now time.Time) {
	b.unresponsiveUntil[homeShard] = now.Add(failureBackoff)
}

// accountTTL is how long an account without requests is kept.
const accountTTL = 30 * time.Second

// Forget drops the accounts of tenants that sent nothing lately.
func (b *Borrower) DropIdleAccounts(now time.Time) {
	for tenant, account := range b.accounts {
		if now.Sub(account.countingSince) > accountTTL {
			delete(b.accounts, tenant)
		}
	}
}
