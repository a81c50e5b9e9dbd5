package quota

import "time"

func (f *fleet) send(from, to *node, deliver func(repeated bool)) {
	if to == nil || from.apart != to.apart {
		return
	}
	f.under = append(f.under, message{to: to, life: to.lives, from: from, deliver: deliver})
}

// lend has every data plane lend to its homes.
func (f *fleet) lend() {
	for _, one := range f.nodes {
		if one.frozen {
			continue
		}
		for _, offer := range one.lender.Plan(f.members(), f.clock(one)) {
			home := f.find(offer.Home)
			if home == nil || home.apart != one.apart || home.frozen && f.random.IntN(2) == 0 {
				one.lender.Failed(offer.Home, f.clock(one))
			}
			f.send(one, home, func(repeated bool) { f.lendAt(one, home, offer.Request, repeated) })
		}
	}
}

func (f *fleet) lendAt(lender, home *node, request LendRequest, repeated bool) {
	if f.fault == loansCountFromReceipt && request.Stamp.Life == home.pool.life {
		request.Stamp.At = int64(f.clock(home).Sub(home.pool.started))
	}
	if f.fault == repeatsCountTwice && repeated {
		request.Lender, request.Daemon = request.Lender+" again", request.Daemon+" again"
	}
	reply := LendReply{Stamp: Stamp{Life: home.pool.life}, Released: true}
	if f.fault != releasedButKept || !home.pool.leaving {
		reply = home.pool.Lend(request, f.clock(home))
	}
	f.send(home, lender, func(bool) { lender.lender.Answered(home.name, reply, f.clock(lender)) })
}

// borrow has every data plane ask for many tokens, to spend them sooner or later.
func (f *fleet) borrow() {
	for _, one := range f.nodes {
		now := f.clock(one)
		if one.frozen {
			continue
		}
		name, free := one.borrower.Home(testTenant, one.lender.Homes(testTenant), now)
		home := f.find(name)
		if !free || home == nil {
			continue
		}
		f.send(one, home, func(bool) {
			reply := home.pool.Borrow(BorrowRequest{Tenant: testTenant, Want: 1 << 20}, f.clock(home))
			f.send(home, one, func(bool) { one.borrower.Answered(testTenant, name, reply, now, f.clock(one)) })
		})
	}
}

func (f *fleet) spend() {
	for _, one := range f.nodes {
		if one.frozen {
			continue
		}
		if held := one.borrower.accounts[testTenant]; held != nil && f.fault == tokensNeverExpire {
			held.until = f.clock(one).Add(time.Hour)
		}
		tokens := 0
		for one.borrower.Take(testTenant, f.clock(one)) {
			tokens++
		}
		if tokens > 0 {
			f.spends = append(f.spends, spent{at: f.now, tokens: tokens})
		}
	}
}

// carry gives the messages under way their fate: most arrive, some twice or later, few never. The answers
// come in the same round or a later one.
func (f *fleet) carry() {
	for range 2 {
		waiting := f.under
		f.under = nil
		for _, one := range waiting {
			fate := f.random.IntN(20)
			if one.to.frozen {
				fate = 0
			}
			switch {
			case fate < 2:
				f.under = append(f.under, one)
			case fate == 2:
			case one.life != one.to.lives:
			case fate == 3:
				one.deliver(false)
				f.under = append(f.under, message{one.to, one.life, one.from, func(bool) { one.deliver(true) }})
			default:
				one.deliver(false)
			}
		}
	}
}
