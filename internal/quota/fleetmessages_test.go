package quota

import "time"

func (f *fleet) send(from, to *node, deliver func(repeated bool)) {
	if to == nil || from.partitioned != to.partitioned {
		return
	}
	f.inFlight = append(f.inFlight, message{to: to, incarnation: to.incarnation, from: from, deliver: deliver})
}

// lend has every data plane lend to its homes.
func (f *fleet) lend() {
	for _, node := range f.nodes {
		if node.frozen {
			continue
		}
		for _, offer := range node.lender.Plan(f.members(), f.clock(node)) {
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
		request.LenderIncarnation, request.DataPlane = request.LenderIncarnation+" again", request.DataPlane+" again"
	}
	reply := LendReply{Stamp: Stamp{Incarnation: homeShard.pool.incarnation}, Released: true}
	if f.fault != keepsReleasedShare || !homeShard.pool.draining {
		reply = homeShard.pool.Lend(request, f.clock(homeShard))
	}
	f.send(homeShard, lender, func(bool) { lender.lender.HandleReply(homeShard.name, reply, f.clock(lender)) })
}

// borrow has every data plane ask for many tokens, to spend them sooner or later.
func (f *fleet) borrow() {
	for _, node := range f.nodes {
		now := f.clock(node)
		if node.frozen {
			continue
		}
		name, free := node.borrower.NextHomeShard(testTenant, node.lender.HomeShards(testTenant), now)
		homeShard := f.find(name)
		if !free || homeShard == nil {
			continue
		}
		f.send(node, homeShard, func(bool) {
			reply := homeShard.pool.Borrow(BorrowRequest{Tenant: testTenant, Want: 1 << 20}, f.clock(homeShard))
			f.send(homeShard, node, func(bool) { node.borrower.HandleReply(testTenant, name, reply, now, f.clock(node)) })
		})
	}
}

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

// carry gives the messages under way their fate: most arrive, some twice or later, few never. The answers
// come in the same round or a later one.
func (f *fleet) deliverMessages() {
	for range 2 {
		waiting := f.inFlight
		f.inFlight = nil
		for _, one := range waiting {
			fate := f.random.IntN(20)
			if one.to.frozen {
				fate = 0
			}
			switch {
			case fate < 2:
				f.inFlight = append(f.inFlight, one)
			case fate == 2:
			case one.incarnation != one.to.incarnation:
			case fate == 3:
				one.deliver(false)
				f.inFlight = append(f.inFlight, message{one.to, one.incarnation, one.from, func(bool) { one.deliver(true) }})
			default:
				one.deliver(false)
			}
		}
	}
}
