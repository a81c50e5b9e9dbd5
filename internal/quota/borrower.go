package quota

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// failureBackoff is how long a home shard that did not reply is not asked again.
	failureBackoff = 500 * time.Millisecond
	// unavailableBackoff is how long a home shard that was unavailable for a tenant is not asked for that tenant again.
	unavailableBackoff = 100 * time.Millisecond
	// borrowHold is how long a home shard that was recently unavailable may hold the next request. Its shares are about to
	// arrive, and polling it instead would saturate its network link.
	borrowHold = 400 * time.Millisecond
	// holdPeriod is how long after it was last unavailable a home shard is asked to hold requests.
	holdPeriod = time.Second
	// accountTTL is how long the account of a tenant that sends no requests is kept.
	accountTTL = 30 * time.Second
)

// Borrower admits the requests of a data plane. For each tenant it holds the borrowed tokens, and until when home shards
// without tokens are not asked again.
type Borrower struct {
	parameters Parameters
	dataPlane  string
	accounts   map[string]*account
	// unresponsiveUntil holds, for home shards that did not reply, when they are asked again.
	unresponsiveUntil map[string]time.Time
}

// account is a Borrower's state for one tenant.
type account struct {
	tokens    int
	expiresAt time.Time
	// rejectedUntil holds, for home shards that had no tokens, when they are asked again.
	rejectedUntil map[string]time.Time
	// unavailableAt holds when home shards were last unavailable.
	unavailableAt map[string]time.Time
	// overLimitUntil is when a home shard that had no tokens because the tenant is over its limit has one again.
	overLimitUntil time.Time
	// requests counts the tenant's requests in the period that began at periodStart, previousRequests those in the period
	// before.
	requests, previousRequests int
	periodStart                time.Time
}

// NewBorrower returns a borrower without tokens for a data plane.
func NewBorrower(parameters Parameters, dataPlane string) *Borrower {
	return &Borrower{
		parameters:        parameters,
		dataPlane:         dataPlane,
		accounts:          map[string]*account{},
		unresponsiveUntil: map[string]time.Time{},
	}
}

// accountOf returns the account of a tenant. It creates one if there is none.
func (b *Borrower) accountOf(tenant string, now time.Time) *account {
	if b.accounts[tenant] == nil {
		b.accounts[tenant] = &account{
			rejectedUntil: map[string]time.Time{},
			unavailableAt: map[string]time.Time{},
			periodStart:   now,
		}
	}
	return b.accounts[tenant]
}

// RecordRequest counts a request of the tenant. TokensToRequest uses the count.
func (b *Borrower) RecordRequest(tenant string, now time.Time) {
	b.accountOf(tenant, now).recordRequest(now, b.parameters.TokenTTL)
}

// recordRequest counts a request, after it has started a new period if the last one is over.
func (a *account) recordRequest(now time.Time, period time.Duration) {
	if passed := now.Sub(a.periodStart); passed >= period {
		a.previousRequests = a.requests
		if passed >= 2*period {
			a.previousRequests = 0
		}
		a.requests, a.periodStart = 0, now
	}
	a.requests++
}

// TakeToken spends a token of the tenant and reports whether there was one that had not expired.
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

// NextHomeShard returns the home shard to request the tenant's tokens from: the first that is in no backoff, in an order
// that differs between data planes so that they spread their requests. found is false if all are in backoff.
func (b *Borrower) NextHomeShard(tenant string, homeShards []string, now time.Time) (homeShard string, found bool) {
	if len(homeShards) == 0 {
		return "", false
	}
	account := b.accountOf(tenant, now)
	first := int(xxhash.Sum64String(b.dataPlane+"\x00"+tenant) % uint64(len(homeShards)))
	for offset := range homeShards {
		homeShard := homeShards[(first+offset)%len(homeShards)]
		if !now.Before(account.rejectedUntil[homeShard]) && !now.Before(b.unresponsiveUntil[homeShard]) {
			return homeShard, true
		}
	}
	return "", false
}

// TokensToRequest returns how many tokens to request for the waiting requests. For a busy tenant it adds the number of
// requests expected within half a TokenTTL.
func (b *Borrower) TokensToRequest(tenant string, waiting int, now time.Time) int {
	account := b.accountOf(tenant, now)
	return waiting + max(account.requests, account.previousRequests)/2
}

// MaxHold returns how long a home shard may hold a request for tokens of the tenant: borrowHold if it was recently
// unavailable, else zero.
func (b *Borrower) MaxHold(tenant, homeShard string, now time.Time) time.Duration {
	unavailableAt, known := b.accountOf(tenant, now).unavailableAt[homeShard]
	if !known || now.Sub(unavailableAt) > holdPeriod {
		return 0
	}
	return borrowHold
}

// HandleReply records the reply of a home shard to a request that was sent at requestedAt.
func (b *Borrower) HandleReply(tenant, homeShard string, reply BorrowReply, requestedAt, now time.Time) {
	account := b.accountOf(tenant, now)
	if reply.Unavailable {
		account.rejectedUntil[homeShard] = now.Add(unavailableBackoff)
		account.unavailableAt[homeShard] = now
		return
	}
	if reply.RetryAfterMs > 0 {
		account.overLimitUntil = now.Add(time.Duration(reply.RetryAfterMs) * time.Millisecond)
		account.rejectedUntil[homeShard] = account.overLimitUntil
	}
	account.addTokens(reply.Tokens, requestedAt.Add(b.parameters.minHeldTime(reply)+b.parameters.TokenTTL), now)
}

// addTokens adds tokens that may be spent until expiresAt. All tokens of an account expire together with the oldest of them:
// if some were kept longer, they could be spent in a later window than the bounds assume.
func (a *account) addTokens(tokens int, expiresAt, now time.Time) {
	if tokens <= 0 || !now.Before(expiresAt) {
		return
	}
	if a.tokens > 0 && now.Before(a.expiresAt) {
		a.tokens += tokens
		a.expiresAt = earliest(a.expiresAt, expiresAt)
		return
	}
	a.tokens, a.expiresAt = tokens, expiresAt
}

// OverLimitFor returns for how much longer the tenant counts as over its limit, zero if it does not.
func (b *Borrower) OverLimitFor(tenant string, now time.Time) time.Duration {
	account := b.accounts[tenant]
	if account == nil {
		return 0
	}
	return max(account.overLimitUntil.Sub(now), 0)
}

// HandleFailure records that a home shard did not reply. Tokens that it may have granted are lost.
func (b *Borrower) HandleFailure(homeShard string, now time.Time) {
	b.unresponsiveUntil[homeShard] = now.Add(failureBackoff)
}

// DropIdle drops the accounts of idle tenants, and the entries of home shards whose backoff or hold period is over.
func (b *Borrower) DropIdle(now time.Time) {
	isOver := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(b.unresponsiveUntil, isOver)
	for tenant, account := range b.accounts {
		if now.Sub(account.periodStart) > accountTTL {
			delete(b.accounts, tenant)
			continue
		}
		maps.DeleteFunc(account.rejectedUntil, isOver)
		maps.DeleteFunc(account.unavailableAt, func(_ string, at time.Time) bool { return now.Sub(at) > holdPeriod })
	}
}
