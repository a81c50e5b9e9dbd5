package keystore

import (
	"context"
	"time"
)

// Read returns a key's committed value, confirmed at a majority after the call began.
func (s *Store) Read(ctx context.Context, name string) (Register, error) {
	key := s.keyState(name)
	if err := key.lock(ctx); err != nil {
		return Register{}, err
	}
	defer key.unlock()
	if key.owned && key.IsCertain() && s.confirm(ctx, key) == nil {
		return key.register, nil
	}
	if register, known := s.readCommitted(ctx, name); known {
		return register, nil
	}
	if err := s.becomeOwnerWithRetry(ctx, key); err != nil {
		return Register{}, err
	}
	return key.register, nil
}

// committed looks for the key's value without taking the key from its owner.
func (s *Store) readCommitted(ctx context.Context, name string) (Register, bool) {
	digest, err := s.Digest(ctx)
	if err != nil {
		return Register{}, false
	}
	found, known := digest.Committed[name]
	if !known {
		return Register{}, false
	}
	register, err := s.Fetch(ctx, found)
	return register, err == nil
}

// Digest is what a majority of members told of all keys, without values. Committed holds the
// newest proposal of each key that a majority keeps. A newest proposal that no majority is
// known to keep stands in Unsettled: it may be in force or not.
type Digest struct {
	Committed map[string]Register
	Undecided map[string]Register
}

// Digest asks the members what they hold.
func (s *Store) Digest(ctx context.Context) (Digest, error) {
	var found Digest
	result := s.query(ctx, Message{Operation: OperationDigest}, func(r *round) progress {
		agreed, possible := r.countVotes(isGranted)
		if !agreed && possible {
			return progressWait
		}
		found = r.digest()
		if agreed && len(found.Undecided) > 0 {
			return progressLinger
		}
		return progressFinished
	})
	if agreed, _ := result.countVotes(isGranted); !agreed {
		return Digest{}, ErrNoMajority
	}
	return result.digest(), nil
}

func (r *round) digest() Digest {
	newest := map[string]Register{}
	for address, reply := range r.replies {
		if r.predatesDiskLoss(address) {
			continue
		}
		for _, register := range reply.Registers {
			if register.NewerThan(newest[register.Key]) {
				newest[register.Key] = register
			}
		}
	}
	digest := Digest{Committed: map[string]Register{}, Undecided: map[string]Register{}}
	for name, register := range newest {
		kept := func(address string, reply Reply) bool { return reply.holds(register) && !r.predatesDiskLoss(address) }
		if agreed, _ := r.countVotes(kept); agreed {
			digest.Committed[name] = register
		} else {
			digest.Undecided[name] = register
		}
	}
	return digest
}

// outlived says that the reply of a member stems from before it lost its disk, as another
// member tells: it says nothing about what that member holds.
func (r *round) predatesDiskLoss(address string) bool {
	reply := r.replies[address]
	for _, other := range r.replies {
		if known := other.KnownDiskIncarnations[address]; known != 0 && known != reply.DiskIncarnation {
			return true
		}
	}
	return false
}

// promises says that a reply is a promise that still binds its giver. A member that lost its disk has told so many others
// before it votes again that one of any quorum either knows of it, or had promised before and was read by it.
func (r *round) countsPromise(address string, reply Reply) bool {
	return reply.Granted && !r.predatesDiskLoss(address)
}

func (r Reply) holds(register Register) bool {
	for _, other := range r.Registers {
		if other.Key == register.Key {
			return r.Granted && other.SameProposal(register)
		}
	}
	return false
}

// localFetchTimeout is how long the member on the same machine is asked alone.
const localFetchTimeout = 100 * time.Millisecond

// Fetch brings the value of a proposal that a digest named.
func (s *Store) Fetch(ctx context.Context, wanted Register) (Register, error) {
	message := Message{Operation: OperationFetch, Key: wanted.Key, Sender: s.self, Membership: s.Membership()}
	localContext, cancel := context.WithTimeout(ctx, localFetchTimeout)
	reply, err := s.transport.Send(localContext, s.self, message)
	cancel()
	if err == nil && reply.Granted && reply.Register.SameProposal(wanted) {
		return reply.Register, nil
	}
	result := s.query(ctx, message, func(r *round) progress {
		if _, found := r.findProposal(wanted); found {
			return progressFinished
		}
		return progressWait
	})
	register, found := result.findProposal(wanted)
	if !found {
		return Register{}, ErrNoMajority
	}
	return register, nil
}

func (r *round) findProposal(wanted Register) (Register, bool) {
	for _, reply := range r.replies {
		if reply.Granted && reply.Register.SameProposal(wanted) {
			return reply.Register, true
		}
	}
	return Register{}, false
}
