package keystore

import (
	"context"
	"time"
)

// localFetchTimeout limits the time for which only the member on the same machine is queried.
const localFetchTimeout = 100 * time.Millisecond

// Read returns a key's committed value, confirmed by a majority after the call began.
func (s *Store) Read(ctx context.Context, name string) (Register, error) {
	key := s.keyState(name)
	began := time.Now()
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	if key.owned && key.IsCertain() && s.confirmSince(ctx, key, began) {
		return key.register, nil
	}
	if committed, known := s.ReadCommitted(ctx, name); known {
		return committed, nil
	}
	if err := s.becomeOwnerWithRetry(ctx, key); err != nil {
		return Register{}, err
	}
	return key.register, nil
}

// ReadCommitted returns a key's committed value, confirmed by a majority after the call began, without taking the key
// from its owner. It returns false while the newest proposal is undecided.
func (s *Store) ReadCommitted(ctx context.Context, name string) (Register, bool) {
	digest, err := s.Digest(ctx)
	if err != nil {
		return Register{}, false
	}
	committed, known := digest.Committed[name]
	if !known {
		return Register{}, false
	}
	register, err := s.Fetch(ctx, committed)
	return register, err == nil
}

// Digest queries the newest proposals that the members hold, and waits a little longer for replies while any of them is
// undecided. It returns ErrNoMajority if too few members reply.
func (s *Store) Digest(ctx context.Context) (Digest, error) {
	result := s.query(ctx, Message{Operation: OperationDigest}, func(replies *replySet) progress {
		agreed, possible := replies.countVotes(isGranted)
		if !agreed && possible {
			return progressWait
		}
		if agreed && len(replies.digest().Undecided) > 0 {
			return progressLinger
		}
		return progressFinished
	})
	if agreed, _ := result.countVotes(isGranted); !agreed {
		return Digest{}, ErrNoMajority
	}
	return result.digest(), nil
}

// Fetch returns the value of a proposal found in a digest. It queries the member on the same machine first, and returns
// ErrNoMajority if no member that replies holds the proposal.
func (s *Store) Fetch(ctx context.Context, proposal Register) (Register, error) {
	message := Message{
		Operation:  OperationFetch,
		Key:        proposal.Key,
		Sender:     s.self,
		Membership: s.Membership(),
	}
	localContext, cancel := context.WithTimeout(ctx, localFetchTimeout)
	reply, err := s.transport.Send(localContext, s.self, message)
	cancel()
	if err == nil && reply.Granted && reply.Register.SameProposal(proposal) {
		return reply.Register, nil
	}
	result := s.query(ctx, message, func(replies *replySet) progress {
		if _, found := replies.find(proposal); found {
			return progressFinished
		}
		return progressWait
	})
	register, found := result.find(proposal)
	if !found {
		return Register{}, ErrNoMajority
	}
	return register, nil
}
