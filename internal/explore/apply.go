package explore

import (
	"slices"

	"ferryspar/internal/keystore"
)

// apply is the world after a move. The error says which invariant fails there.
func (f *fleet) apply(w *world, one move) (*world, error) {
	next := w.clone()
	err := f.carryOut(next, one)
	if err == nil && one.kind != moveWipe {
		err = f.checkLists(w, next)
	}
	if err == nil {
		err = f.check(next)
	}
	if err == nil {
		f.drop(next)
	}
	return next, err
}

func (f *fleet) carryOut(w *world, one move) error {
	subject := int(one.subject)
	switch one.kind {
	case moveDeliver, moveDuplicate:
		if one.kind == moveDuplicate {
			w.left.Duplicates--
		} else {
			at, _ := slices.BinarySearch(w.network, one.subject)
			w.network = slices.Delete(w.network, at, at+1)
		}
		return f.deliver(w, one.subject, one.choice == replyLost)
	case moveSync:
		return f.sync(w, subject, one.choice == replyLost)
	case moveCrash:
		w.left.Crashes--
		crashed := f.members.get(w.members[subject]).crash(int(one.choice), f.now(w, subject))
		return f.restartMachine(w, subject, crashed)
	case moveWipe:
		w.left.Wipes--
		return f.restartMachine(w, subject, f.members.get(w.members[subject]).wipe(f.rules, f.now(w, subject)))
	case moveRestart:
		w.left.Restarts--
		f.restartProposer(w, subject, keystore.Members{})
	case moveBegin:
		return f.begin(w, subject)
	case moveGiveUp:
		return f.giveUp(w, subject)
	case moveHear:
		next := f.proposers.get(w.proposers[subject]).clone()
		next.adopt(f.proposers.get(w.proposers[one.choice]).Members)
		w.proposers[subject] = f.proposers.add(next)
	case moveTick:
		w.left.Ticks--
		w.tick++
		f.forget(w)
	case moveDayStep:
		w.left.DaySteps--
		w.dayOffsets[subject] += f.scenario.Lease
	}
	return nil
}

func (f *fleet) deliver(w *world, of number, lost bool) error {
	one := f.packets.get(of)
	if one.Reply != nil {
		return f.receive(w, of)
	}
	index := f.machine(one.Member)
	handled := f.handle(w, index, of)
	w.members[index] = handled.member
	if err := f.answer(w, handled.replies, lost); err != nil {
		return err
	}
	if !f.scenario.Staging && len(f.members.get(handled.member).Staged) > 0 {
		return f.sync(w, index, lost)
	}
	return nil
}

// answer brings replies on their way. But in scenarios with late ones they arrive at once or
// not at all. That leaves nothing out where no step depends on when a reply arrives: until it
// does its proposer stands still, and what the proposer sends on it may be under way for as long
// as the reply could have been. A late refusal is a late question: neither changes the member.
func (f *fleet) answer(w *world, replies []number, lost bool) error {
	for _, reply := range replies {
		if f.scenario.LateReplies {
			w.send(reply)
			continue
		}
		if lost {
			continue
		}
		if err := f.receive(w, reply); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) handle(w *world, index int, of number) handlingResult {
	now := f.now(w, index)
	asked := handling{w.members[index], of, int(now.Sub(epoch) / Tick)}
	if known, found := f.handled[asked]; found {
		return known
	}
	next, replies := f.members.get(asked.member).handle(f.rules, *f.packets.get(of), now)
	result := handlingResult{member: f.members.add(next)}
	for _, reply := range replies {
		result.replies = append(result.replies, f.packets.add(&reply))
	}
	f.handled[asked] = result
	return result
}

func (f *fleet) sync(w *world, index int, lost bool) error {
	one := handling{w.members[index], syncing, 0}
	synced, known := f.handled[one]
	if !known {
		next, replies := f.members.get(w.members[index]).sync()
		synced.member = f.members.add(next)
		for _, reply := range replies {
			synced.replies = append(synced.replies, f.packets.add(&reply))
		}
		f.handled[one] = synced
	}
	w.members[index] = synced.member
	if err := f.observe(w); err != nil {
		return err
	}
	return f.answer(w, synced.replies, lost)
}

func (f *fleet) giveUp(w *world, index int) error {
	at := f.proposers.get(w.proposers[index])
	next := at.clone()
	var result outcome
	if at.settles(f.rules) {
		result = next.answered(f.view(w, at), true)
	} else {
		next.fail()
	}
	return f.settle(w, index, next, result)
}

// restartMachine is the next life of a machine: its member as given, its proposers anew. One
// whose member lost its disk first brings that to vote again.
func (f *fleet) restartMachine(w *world, index int, next *member) error {
	w.members[index] = f.members.add(next)
	for number, of := range w.proposers {
		if f.proposers.get(of).Machine == f.machines[index] {
			f.restartProposer(w, number, next.list)
			f.forgetList(w, number, next)
		}
	}
	return f.observe(w)
}

// forgetList leaves a proposer that is to catch up without a list where its disk holds none.
func (f *fleet) forgetList(w *world, index int, own *member) {
	if own.list.Number > 0 || !f.scenario.forgetsList(f.scenario.Clients[index]) {
		return
	}
	next := f.proposers.get(w.proposers[index]).clone()
	next.Members = keystore.Members{}
	w.proposers[index] = f.proposers.add(next)
}

func (f *fleet) restartProposer(w *world, index int, members keystore.Members) {
	w.proposers[index] = f.proposers.add(f.proposers.get(w.proposers[index]).restart(members))
}

func (f *fleet) forget(w *world) {
	for index, of := range w.members {
		next := f.members.get(of).clone()
		next.forget(f.now(w, index))
		w.members[index] = f.members.add(next)
	}
}
