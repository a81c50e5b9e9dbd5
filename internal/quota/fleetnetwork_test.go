package quota

import "time"

// fates is the number of equally likely fates of a message.
const fates = 20

// Fates of a message; all others are a plain delivery.
const (
	delayedFates = 2
	lostFate     = 2
	repeatedFate = 3
)

// message is in flight until it is delivered to the incarnation that it is for; the reply is made on delivery.
type message struct {
	to          *node
	incarnation int
	deliver     func(repeated bool)
}

func (f *fleet) send(from, to *node, deliver func(repeated bool)) {
	if to == nil || from.partitioned != to.partitioned {
		return
	}
	f.inFlight = append(f.inFlight, message{to: to, incarnation: to.incarnation, deliver: deliver})
}

// deliverMessages decides the fate of the messages in flight: most arrive, some twice or later, few never. The replies
// arrive in the same step or a later one.
func (f *fleet) deliverMessages() {
	for range 2 {
		waiting := f.inFlight
		f.inFlight = nil
		for _, message := range waiting {
			f.deliver(message)
		}
	}
}

func (f *fleet) deliver(sent message) {
	fate := f.random.IntN(fates)
	if sent.to.frozen {
		fate = 0
	}
	switch {
	case fate < delayedFates:
		f.inFlight = append(f.inFlight, sent)
	case fate == lostFate:
	case sent.incarnation != sent.to.incarnation:
	case fate == repeatedFate:
		sent.deliver(false)
		repetition := message{to: sent.to, incarnation: sent.incarnation, deliver: func(bool) { sent.deliver(true) }}
		f.inFlight = append(f.inFlight, repetition)
	default:
		sent.deliver(false)
	}
}

// lend has every data plane lend to its home shards.
func (f *fleet) lend() {
	for _, node := range f.nodes {
		if node.frozen {
			continue
		}
		for _, offer := range node.lender.Plan(f.names(), f.clock(node)) {
			homeShard := f.find(offer.HomeShard)
			if homeShard == nil || homeShard.partitioned != node.partitioned || homeShard.frozen && f.random.IntN(2) == 0 {
				node.lender.HandleFailure(offer.HomeShard, f.clock(node))
			}
			f.send(node, homeShard, func(repeated bool) { f.lendAt(node, homeShard, offer.Request, repeated) })
		}
	}
}

func (f *fleet) lendAt(lender, homeShard *node, request LendRequest, repeated bool) {
	if f.fault == loansCountFromReceipt && request.Stamp.Incarnation == homeShard.pool.incarnation {
		request.Stamp.At = int64(f.clock(homeShard).Sub(homeShard.pool.startedAt))
	}
	if f.fault == repeatsCountTwice && repeated {
		request.LenderIncarnation += " again"
		request.DataPlane += " again"
	}
	reply := LendReply{Stamp: Stamp{Incarnation: homeShard.pool.incarnation}, Released: true}
	if f.fault != keepsReleasedShare || !homeShard.pool.draining {
		reply = homeShard.pool.Lend(request, f.clock(homeShard))
	}
	f.send(homeShard, lender, func(bool) { lender.lender.HandleReply(homeShard.name, reply, f.clock(lender)) })
}

// borrow has every data plane request many tokens, to spend them sooner or later.
func (f *fleet) borrow() {
	for _, node := range f.nodes {
		if node.frozen {
			continue
		}
		requestedAt := f.clock(node)
		name, found := node.borrower.NextHomeShard(testTenant, node.lender.HomeShards(testTenant), requestedAt)
		homeShard := f.find(name)
		if !found || homeShard == nil {
			continue
		}
		f.send(node, homeShard, func(bool) {
			reply := homeShard.pool.Borrow(BorrowRequest{Tenant: testTenant, Tokens: 1 << 20}, f.clock(homeShard))
			f.send(homeShard, node, func(bool) {
				node.borrower.HandleReply(testTenant, name, reply, requestedAt, f.clock(node))
			})
		})
	}
}

// spend has every data plane spend all tokens that it may.
func (f *fleet) spend() {
	for _, node := range f.nodes {
		if node.frozen {
			continue
		}
		if account := node.borrower.accounts[testTenant]; account != nil && f.fault == tokensNeverExpire {
			account.expiresAt = f.clock(node).Add(time.Hour)
		}
		tokens := 0
		for node.borrower.TakeToken(testTenant, f.clock(node)) {
			tokens++
		}
		if tokens > 0 {
			f.spends = append(f.spends, spentTokens{at: f.now, tokens: tokens})
		}
	}
}
