package keystore

import (
	"context"
	"maps"
	"slices"
	"time"
)

// installTimeout is how long a member waits for its own disk to take what it has read.
const installTimeout = 5 * time.Second

// CatchUpRequest is who catches up, and from whom: Membership are asked, which is the list in force or, while none
// is known, the founding list.
type CatchUpRequest struct {
	Self            string
	DiskIncarnation uint64
	Membership      Membership
}

// BootstrapJudge decides on founding, see JudgeBootstrap.
type BootstrapJudge func(self string, founding Membership, replies map[string]Reply) BootstrapVerdict

// CatchUpResult brings a member that does not vote to where it may: it reads enough of the others
// and installs what they hold. It says whether the member votes and, if too few voting members
// were there to read, what the verdict on founding was.
func (s *Store) CatchUp(ctx context.Context, acceptor *Acceptor) (bool, BootstrapVerdict) {
	self := acceptor.LocalState()
	if self.Voting {
		return true, ""
	}
	current := s.Membership()
	request := CatchUpRequest{Self: s.self, DiskIncarnation: self.DiskIncarnation, Membership: current}
	if current.Version == 0 {
		request.Membership = BootstrapMembership(acceptor.Seeds())
	}
	if !request.Membership.Contains(s.self) {
		return false, BootstrapNotInitialMember
	}
	message := Message{Operation: OperationCatchUp, DiskIncarnation: self.DiskIncarnation, Membership: current}
	result := s.queryMembers(ctx, request.Membership, message, func(r *round) progress {
		if r.coversLostVotes(s.self) {
			return progressFinished
		}
		return progressWait
	})
	read, verdict, enough := EvaluateCatchUp(request, result.replies, JudgeBootstrap)
	if !enough || s.Membership().Version != current.Version {
		return false, verdict
	}
	installContext, cancel := context.WithTimeout(ctx, installTimeout)
	defer cancel()
	if acceptor.Install(installContext, read) != nil {
		return false, verdict
	}
	s.AdoptMembership(read.Membership)
	return true, verdict
}

// covers says whether enough members told the one that catches up what they hold. A majority
// that read for an earlier incarnation has a member in common with one that reads for this one,
// so one of the replies tells of it.
func (r *round) coversLostVotes(self string) bool {
	answered := map[string]bool{}
	hasEarlierIncarnation := false
	for address, reply := range r.replies {
		answered[address] = reply.Granted
		hasEarlierIncarnation = hasEarlierIncarnation || reply.DiskIncarnationCount > 1
	}
	return r.members.CoversLostVotes(self, answered, hasEarlierIncarnation)
}

// merged combines what all members told of each key, in the order of the keys.
func (r *round) mergedRegisters() []Register {
	newest := map[string]Register{}
	for _, reply := range r.replies {
		for _, register := range reply.Registers {
			newest[register.Key] = mergeRegisters(newest[register.Key], register)
		}
	}
	registers := make([]Register, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		registers = append(registers, newest[name])
	}
	return registers
}

// Refresh brings a voting member's disk up to date with what a majority is known to hold: a
// member that was away would otherwise stay behind on each key until its next change. It
// returns how many keys were behind and are not any more.
func (s *Store) Refresh(ctx context.Context, acceptor *Acceptor, committed map[string]Register) int {
	refreshed := 0
	durable := acceptor.Durable()
	if !readLocalState(durable).Voting {
		return refreshed
	}
	for _, name := range slices.Sorted(maps.Keys(committed)) {
		if !committed[name].NewerThan(durable[name]) {
			continue
		}
		register, err := s.Fetch(ctx, committed[name])
		if err == nil && acceptor.Learn(ctx, register) == nil {
			refreshed++
		}
	}
	return refreshed
}
