package quota

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// failureBackoff is how long a home shard that gave no reply isn't asked again.
	failureBackoff = 500 * time.Millisecond
	// unavailableBackoff is how long a home shard that was unavailable for a tenant isn't asked for it again.
	unavailableBackoff = 100 * time.Millisecond
	// borrowHold is how long a home shard that was unavailable lately may hold the next request: shares are on their way to it,
	// and to ask it over and over would fill its link.
	borrowHold = 400 * time.Millisecond
	// holdPeriod is for how long after it was unavailable a home shard is asked to hold requests.
	holdPeriod = time.Second
	// accountTTL is how long the account of a tenant without requests is kept.
	accountTTL = 30 * time.Second
)

// Borrower is the part of a data plane that admits requests: it holds the tokens that were borrowed, and which home
// shards had none, by tenant.
type Borrower struct {
	parameters Parameters
	dataPlane  string
	accounts   map[string]*account
	// unresponsiveUntil holds when home shards that gave no reply are asked again.
	unresponsiveUntil map[string]time.Time
}

// account is what a data plane holds of one tenant.
type account struct {
	tokens    int
	expiresAt time.Time
	// rejectedUntil holds when home shards that had no tokens are asked again.
	rejectedUntil map[string]time.Time
	// unavailableAt holds when home shards were unavailable last.
	unavailableAt map[string]time.Time
	// overLimitUntil is until when a home shard has no tokens because the tenant is over its limit.
	overLimitUntil time.Time
	// requests counts the tenant's requests since countingSince, previousRequests those of the period before.
	requests, previousRequests int
	countingSince              time.Time
}

// NewBorrower returns the borrower of a data plane, without tokens.
func NewBorrower(parameters Parameters, dataPlane string) *Borrower {
	return &Borrower{
		parameters:        parameters,
		dataPlane:         dataPlane,
		accounts:          map[string]*account{},
		unresponsiveUntil: map[string]time.Time{},
	}
}

// accountOf returns the account of a tenant, a new one if there is none.
func (b *Borrower) accountOf(tenant string, now time.Time) *account {
	if b.accounts[tenant] == nil {
		b.accounts[tenant] = &account{
			rejectedUntil: map[string]time.Time{},
			unavailableAt: map[string]time.Time{},
			countingSince: now,
		}
	}
	return b.accounts[tenant]
}

// RecordRequest counts a request of the tenant, for the number of tokens to request.
func (b *Borrower) RecordRequest(tenant string, now time.Time) {
	b.accountOf(tenant, now).recordRequest(now, b.parameters.TokenTTL)
}

func (a *account) recordRequest(now time.Time, period time.Duration) {
	if passed := now.Sub(a.countingSince); passed >= period {
		a.previousRequests = a.requests
		if passed >= 2*period {
			a.previousRequests = 0
		}
		a.requests, a.countingSince = 0, now
	}
	a.requests++
}

// TakeToken spends a token of the tenant and reports whether there was one that may still be spent.
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

// NextHomeShard picks the home shard to be asked for the tenant's tokens next: of those that weren't without tokens
// lately the first, in an order that differs between data planes so that they spread their requests. It returns
// false while there is none.
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

// TokensToRequest is how many tokens to request while a number of requests is waiting: for a busy tenant some more, for
// those requests that are likely to come within half the tokens' time to live.
func (b *Borrower) TokensToRequest(tenant string, waiting int, now time.Time) int {
	account := b.accountOf(tenant, now)
	return waiting + max(account.requests, account.previousRequests)/2
}

// MaxHold is for how long a home shard may hold a request for tokens of the tenant.
func (b *Borrower) MaxHold(tenant, homeShard string, now time.Time) time.Duration {
	unavailableAt, known := b.accountOf(tenant, now).unavailableAt[homeShard]
	if !known || now.Sub(unavailableAt) > holdPeriod {
		return 0
	}
	return borrowHold
}

// HandleReply records what a home shard gave in reply to a request that was sent at requestedAt.
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
	account.addTokens(reply.Tokens, requestedAt.Add(b.parameters.heldFor(reply)+b.parameters.TokenTTL), now)
}

// addTokens adds tokens that may be spent until expiresAt. All tokens of an account expire at once, with the oldest of
// them: kept for longer, they could be spent in a later window than the bounds count them in.
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

// OverLimitFor returns for how much longer the tenant counts as over its limit, zero if it doesn't.
func (b *Borrower) OverLimitFor(tenant string, now time.Time) time.Duration {
	account := b.accounts[tenant]
	if account == nil {
		return 0
	}
	return max(account.overLimitUntil.Sub(now), 0)
}

// HandleFailure records that a home shard gave no reply. What it may have given is lost.
func (b *Borrower) HandleFailure(homeShard string, now time.Time) {
	b.unresponsiveUntil[homeShard] = now.Add(failureBackoff)
}

// DropIdle drops the accounts of tenants that sent nothing lately, and what is remembered of home shards that may be asked
// again.
func (b *Borrower) DropIdle(now time.Time) {
	isOver := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(b.unresponsiveUntil, isOver)
	for tenant, account := range b.accounts {
		if now.Sub(account.countingSince) > accountTTL {
			delete(b.accounts, tenant)
			continue
		}
		maps.DeleteFunc(account.rejectedUntil, isOver)
		maps.DeleteFunc(account.unavailableAt, func(_ string, at time.Time) bool { return now.Sub(at) > holdPeriod })
	}
}
