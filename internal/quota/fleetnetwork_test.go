package quota

import "time"

// messageOutcomes is the number of equally likely outcomes for a message in flight.
const messageOutcomes = 20

const (
	// delayedOutcomes is the number of outcomes by which the message stays in flight; they are the lowest.
	delayedOutcomes = 2
	// lostOutcome and repeatedOutcome are the outcomes by which the message is lost or delivered twice. All others deliver it once.
	lostOutcome     = 2
	repeatedOutcome = 3
)

// message is a message in flight. It is delivered only to the incarnation that it was sent to; the reply is sent on delivery.
type message struct {
	to          *node
	incarnation int
	deliver     func(repeated bool)
}

// send puts a message in flight if the two nodes are on the same side of the partition.
func (f *fleet) send(from, to *node, deliver func(repeated bool)) {
	if to == nil || from.partitioned != to.partitioned {
		return
	}
	f.inFlight = append(f.inFlight, message{to: to, incarnation: to.incarnation, deliver: deliver})
}

// deliverMessages delivers the messages in flight, except for delayed and lost ones. Their replies arrive in the same step or a
// later one.
func (f *fleet) deliverMessages() {
	for range 2 {
		waiting := f.inFlight
		f.inFlight = nil
		for _, message := range waiting {
			f.deliver(message)
		}
	}
}

// deliver draws the outcome for a message and applies it. Messages to a frozen node are delayed.
func (f *fleet) deliver(sent message) {
	outcome := f.random.IntN(messageOutcomes)
	if sent.to.frozen {
		outcome = 0
	}
	switch {
	case outcome < delayedOutcomes:
		f.inFlight = append(f.inFlight, sent)
	case outcome == lostOutcome:
	case sent.incarnation != sent.to.incarnation:
	case outcome == repeatedOutcome:
		sent.deliver(false)
		repetition := message{to: sent.to, incarnation: sent.incarnation, deliver: func(bool) { sent.deliver(true) }}
		f.inFlight = append(f.inFlight, repetition)
	default:
		sent.deliver(false)
	}
}

// lend has every node lend to its home shards.
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

// lendAt handles a request to lend at a home shard, with the injected fault, and sends the reply.
func (f *fleet) lendAt(lender, homeShard *node, request LendRequest, repeated bool) {
	if f.fault == termStartsAtReceipt && request.Stamp.Incarnation == homeShard.pool.incarnation {
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

// borrow has every node request more tokens than are available.
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

// spend has every node spend all its tokens.
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
