package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Borrower is the part of a data plane that admits requests: it holds the tokens that were borrowed and what homes
// refused, by tenant.
type Borrower struct {
	parameters Parameters
	daemon     string
	accounts   map[string]*account
	// silent holds the homes that gave no answer, and when they are asked again.
	silent map[string]time.Time
}

// account is what a data plane holds of one tenant.
type account struct {
	tokens int
	until  time.Time
	// refused tells when homes are asked again that had no token. Until denied one of them had none because the tenant
	// is beyond its limit.
	refused map[string]time.Time
	denied  time.Time
	// recent counts the requests since the moment, the last ones of the span before in earlier.
	recent, earlier int
	since           time.Time
}

// NewBorrower returns a borrower of a data plane without tokens.
func NewBorrower(parameters Parameters, daemon string) *Borrower {
	return &Borrower{parameters: parameters, daemon: daemon, accounts: map[string]*account{}, silent: map[string]time.Time{}}
}

func (b *Borrower) account(tenant string, now time.Time) *account {
	held := b.accounts[tenant]
	if held == nil {
		held = &account{refused: map[string]time.Time{}, since: now}
		b.accounts[tenant] = held
	}
	return held
}

// Arrived counts a request of the tenant, for the number of tokens to ask for.
func (b *Borrower) Arrived(tenant string, now time.Time) {
	held := b.account(tenant, now)
	if passed := now.Sub(held.since); passed >= b.parameters.TokenLife {
		held.earlier = held.recent
		if passed >= 2*b.parameters.TokenLife {
			held.earlier = 0
		}
		held.recent, held.since = 0, now
	}
	held.recent++
}

// Take spends a token of the tenant, if there is one that may still be spent.
func (b *Borrower) Take(tenant string, now time.Time) bool {
	held := b.accounts[tenant]
	if held == nil || held.tokens == 0 {
		return false
	}
	if !now.Before(held.until) {
		held.tokens = 0
		return false
	}
	held.tokens--
	return true
}

// Home picks the home to be asked for the tenant next: of those that didn't refuse lately the first in an order
// that differs between data planes. There is none while all refuse.
func (b *Borrower) Home(tenant string, homes []string, now time.Time) (string, bool) {
	if len(homes) == 0 {
		return "", false
	}
	held := b.account(tenant, now)
	first := int(xxhash.Sum64String(b.daemon+"\x00"+tenant) % uint64(len(homes)))
	for offset := range homes {
		home := homes[(first+offset)%len(homes)]
		if !now.Before(held.refused[home]) && !now.Before(b.silent[home]) {
			return home, true
		}
	}
	return "", false
}

// Want is how many tokens to ask for with the given number of requests waiting: a busy tenant gets some more, for those
// that are likely to come within half the life of tokens.
func (b *Borrower) Want(tenant string, waiting int, now time.Time) int {
	held := b.account(tenant, now)
	return waiting + max(held.recent, held.earlier)/2
}

// Answered notes what a home gave in answer to a question put at the time given.
func (b *Borrower) Answered(tenant, home string, reply BorrowReply, asked, now time.Time) {
	held := b.account(tenant, now)
	if reply.Unable {
		held.refused[home] = now.Add(unablePause)
		return
	}
	if reply.RetryMs > 0 {
		held.denied = now.Add(time.Duration(reply.RetryMs) * time.Millisecond)
		held.refused[home] = held.denied
	}
	until := asked.Add(b.parameters.TokenLife)
	if reply.Tokens <= 0 || !now.Before(until) {
		return
	}
	if held.tokens > 0 && now.Before(held.until) {
		held.tokens += reply.Tokens
		held.until = earlier(held.until, until)
		return
	}
	held.tokens, held.until = reply.Tokens, until
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// Denied returns how much longer the tenant counts as beyond its limit, zero where it doesn't.
func (b *Borrower) Denied(tenant string, now time.Time) time.Duration {
	held := b.accounts[tenant]
	if held == nil {
		return 0
	}
	return max(held.denied.Sub(now), 0)
}

const (
	// failurePause is how long a home that gave no answer isn't asked again.
	failurePause = 500 * time.Millisecond
	// unablePause is how long a home that can't tell of a tenant isn't asked for it again.
	unablePause = 100 * time.Millisecond
)

// Failed notes that a home gave no answer. What it may have given is lost.
func (b *Borrower) Failed(home string, now time.Time) { b.silent[home] = now.Add(failurePause) }

// accountLife is how long an account without requests is kept.
const accountLife = 30 * time.Second

// Forget drops the accounts of tenants that sent nothing lately.
func (b *Borrower) Forget(now time.Time) {
	for tenant, held := range b.accounts {
		if now.Sub(held.since) > accountLife {
			delete(b.accounts, tenant)
		}
	}
}
