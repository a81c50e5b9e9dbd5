package keystore

import (
	"context"
	"maps"
	"slices"
	"time"
)

// installTimeout limits the time for writing the state that was read to the member's own disk.
const installTimeout = 5 * time.Second

// CatchUp lets a member without a vote catch up: it reads enough of the other members and installs their state. It
// reports whether the member votes and, if too few voting members replied, returns the verdict on a bootstrap.
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
	read, verdict, sufficient := EvaluateCatchUp(request, result.replies, EvaluateBootstrap)
	if !sufficient || s.Membership().Version != current.Version {
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

// Refresh updates a voting member's disk with the values that a majority is known to hold. Otherwise a member that was
// unreachable for a while would stay behind on each key until the key's next change. It returns the number of keys that
// were updated.
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
