package keystore

import (
	"context"
	"maps"
	"slices"
	"time"
)

// installBound is how long a member waits for its own disk to take what it has read.
const installBound = 5 * time.Second

// CatchUpQuestion is who catches up, and from whom: Members are asked, which is the list in force or, while none
// is known, the founding list.
type CatchUpQuestion struct {
	Self        string
	Incarnation uint64
	Members     Members
}

// FoundingJudge decides on founding, see JudgeFounding.
type FoundingJudge func(self string, founding Members, replies map[string]Reply) FoundingVerdict

// CatchUp brings a member that does not vote to where it may: it reads enough of the others
// and installs what they hold. It says whether the member votes and, if too few voting members
// were there to read, what the verdict on founding was.
func (s *Store) CatchUp(ctx context.Context, acceptor *Acceptor) (bool, FoundingVerdict) {
	self := acceptor.Self()
	if self.Voting {
		return true, ""
	}
	inForce := s.Members()
	question := CatchUpQuestion{Self: s.self, Incarnation: self.Incarnation, Members: inForce}
	if inForce.Number == 0 {
		question.Members = FoundingList(acceptor.Seeds())
	}
	if !question.Members.Has(s.self) {
		return false, FoundingNotFounder
	}
	message := Message{Operation: OperationCatchUp, Incarnation: self.Incarnation, Members: inForce}
	told := s.gatherFrom(ctx, question.Members, message, func(r *round) progress {
		if r.covers(s.self) {
			return finished
		}
		return wait
	})
	read, verdict, enough := ConcludeCatchUp(question, told.replies, JudgeFounding)
	if !enough || s.Members().Number != inForce.Number {
		return false, verdict
	}
	bounded, cancel := context.WithTimeout(ctx, installBound)
	defer cancel()
	if acceptor.Install(bounded, read) != nil {
		return false, verdict
	}
	s.Adopt(read.Members)
	return true, verdict
}

// covers says whether enough members told the one that catches up what they hold. A majority
// that read for an earlier incarnation has a member in common with one that reads for this one,
// so one of the replies tells of it.
func (r *round) covers(self string) bool {
	told := map[string]bool{}
	earlierLife := false
	for address, reply := range r.replies {
		told[address] = reply.Granted
		earlierLife = earlierLife || reply.Lives > 1
	}
	return r.members.Covered(self, told, earlierLife)
}

// merged combines what all members told of each key, in the order of the keys.
func (r *round) merged() []Slot {
	newest := map[string]Slot{}
	for _, reply := range r.replies {
		for _, slot := range reply.Slots {
			newest[slot.Key] = combine(newest[slot.Key], slot)
		}
	}
	slots := make([]Slot, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		slots = append(slots, newest[name])
	}
	return slots
}

// Refresh brings a voting member's disk up to date with what a majority is known to hold: a
// member that was away would otherwise stay behind on each key until its next change. It
// returns how many keys were behind and are not any more.
func (s *Store) Refresh(ctx context.Context, acceptor *Acceptor, committed map[string]Slot) int {
	refreshed := 0
	held := acceptor.Durable()
	if !readSelf(held).Voting {
		return refreshed
	}
	for _, name := range slices.Sorted(maps.Keys(committed)) {
		if !committed[name].Newer(held[name]) {
			continue
		}
		whole, err := s.Fetch(ctx, committed[name])
		if err == nil && acceptor.Learn(ctx, whole) == nil {
			refreshed++
		}
	}
	return refreshed
}
