package keystore

import (
	"context"
	"maps"
	"slices"
	"time"
)

// installTimeout is how long a member waits for its own disk to take what it has read.
const installTimeout = 5 * time.Second

// CatchUp brings a member that does not vote to where it may: it reads enough of the others and installs what they hold.
// It says whether the member votes and, if too few voting members were there to read, what the verdict on a bootstrap was.
func (s *Store) CatchUp(ctx context.Context, acceptor *Acceptor) (bool, BootstrapVerdict) {
	local := acceptor.LocalState()
	if local.Voting {
		return true, ""
	}
	current := s.Membership()
	request := CatchUpRequest{Self: s.self, DiskIncarnation: local.DiskIncarnation, Membership: current}
	if current.Version == 0 {
		request.Membership = BootstrapMembership(acceptor.Seeds())
	}
	if !request.Membership.Contains(s.self) {
		return false, BootstrapNotInitialMember
	}
	message := Message{
		Operation:       OperationCatchUp,
		DiskIncarnation: local.DiskIncarnation,
		Membership:      current,
	}
	result := s.queryMembers(ctx, request.Membership, message, func(replies *replySet) progress {
		if replies.coversLostVotes(s.self) {
			return progressFinished
		}
		return progressWait
	})
	read, verdict, enough := EvaluateCatchUp(request, result.replies, EvaluateBootstrap)
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

// Refresh brings a voting member's disk up to date with what a majority is known to hold: a member that was away would
// otherwise stay behind on each key until its next change. It returns how many keys were behind and are not any more.
func (s *Store) Refresh(ctx context.Context, acceptor *Acceptor, committed map[string]Register) int {
	refreshed := 0
	durable := acceptor.Durable()
	if !LocalStateOf(durable).Voting {
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
