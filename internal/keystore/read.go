package keystore

import (
	"context"
	"time"
)

// Read returns a key's committed value, confirmed at a majority after the call began.
func (s *Store) Read(ctx context.Context, name string) (Slot, error) {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return Slot{}, err
	}
	defer key.leave()
	if key.held && key.Certain() && s.confirm(ctx, key) == nil {
		return key.slot, nil
	}
	if whole, known := s.committed(ctx, name); known {
		return whole, nil
	}
	if err := s.takeWithin(ctx, key); err != nil {
		return Slot{}, err
	}
	return key.slot, nil
}

// committed looks for the key's value without taking the key from its owner.
func (s *Store) committed(ctx context.Context, name string) (Slot, bool) {
	digest, err := s.Digest(ctx)
	if err != nil {
		return Slot{}, false
	}
	found, known := digest.Committed[name]
	if !known {
		return Slot{}, false
	}
	whole, err := s.Fetch(ctx, found)
	return whole, err == nil
}

// Digest is what a majority of members told of all keys, without values. Committed holds the
// newest proposal of each key that a majority keeps. A newest proposal that no majority is
// known to keep stands in Unsettled: it may be in force or not.
type Digest struct {
	Committed map[string]Slot
	Unsettled map[string]Slot
}

// Digest asks the members what they hold.
func (s *Store) Digest(ctx context.Context) (Digest, error) {
	var found Digest
	told := s.gather(ctx, Message{Operation: OperationDigest}, func(r *round) progress {
		agreed, possible := r.tally(granted)
		if !agreed && possible {
			return wait
		}
		found = r.digest()
		if agreed && len(found.Unsettled) > 0 {
			return linger
		}
		return finished
	})
	if agreed, _ := told.tally(granted); !agreed {
		return Digest{}, ErrNoMajority
	}
	return told.digest(), nil
}

func (r *round) digest() Digest {
	newest := map[string]Slot{}
	for address, reply := range r.replies {
		if r.outlived(address) {
			continue
		}
		for _, slot := range reply.Slots {
			if slot.Newer(newest[slot.Key]) {
				newest[slot.Key] = slot
			}
		}
	}
	digest := Digest{Committed: map[string]Slot{}, Unsettled: map[string]Slot{}}
	for name, slot := range newest {
		kept := func(address string, reply Reply) bool { return reply.keeps(slot) && !r.outlived(address) }
		if agreed, _ := r.tally(kept); agreed {
			digest.Committed[name] = slot
		} else {
			digest.Unsettled[name] = slot
		}
	}
	return digest
}

// outlived says that the reply of a member stems from before it lost its disk, as another
// member tells: it says nothing about what that member holds.
func (r *round) outlived(address string) bool {
	reply := r.replies[address]
	for _, other := range r.replies {
		if known := other.Known[address]; known != 0 && known != reply.Incarnation {
			return true
		}
	}
	return false
}

// promises says that a reply is a promise that still binds its giver. A member that lost its disk has told so many others
// before it votes again that one of any quorum either knows of it, or had promised before and was read by it.
func (r *round) promises(address string, reply Reply) bool {
	return reply.Granted && !r.outlived(address)
}

func (r Reply) keeps(slot Slot) bool {
	for _, other := range r.Slots {
		if other.Key == slot.Key {
			return r.Granted && other.Same(slot)
		}
	}
	return false
}

// nearBound is how long the member on the same machine is asked alone.
const nearBound = 100 * time.Millisecond

// Fetch brings the value of a proposal that a digest named.
func (s *Store) Fetch(ctx context.Context, wanted Slot) (Slot, error) {
	message := Message{Operation: OperationFetch, Key: wanted.Key, Sender: s.self, Members: s.Members()}
	near, cancel := context.WithTimeout(ctx, nearBound)
	reply, err := s.transport.Send(near, s.self, message)
	cancel()
	if err == nil && reply.Granted && reply.Slot.Same(wanted) {
		return reply.Slot, nil
	}
	told := s.gather(ctx, message, func(r *round) progress {
		if _, found := r.holder(wanted); found {
			return finished
		}
		return wait
	})
	whole, found := told.holder(wanted)
	if !found {
		return Slot{}, ErrNoMajority
	}
	return whole, nil
}

func (r *round) holder(wanted Slot) (Slot, bool) {
	for _, reply := range r.replies {
		if reply.Granted && reply.Slot.Same(wanted) {
			return reply.Slot, true
		}
	}
	return Slot{}, false
}
