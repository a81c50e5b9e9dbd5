package keystore

import (
	"context"
	"encoding/json"
	"time"
)

func (s *Store) Read(ctx context.Context, name string) (Slot, error) {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return Slot{}, err
	}
	defer key.leave()
	if key.held && s.confirm(ctx, key, name) == nil {
		return key.slot, nil
	}
	if whole, known := s.committed(ctx, name); known {
		return whole, nil
	}
	if err := s.takeWithin(ctx, key, name); err != nil {
		return Slot{}, err
	}
	return key.slot, nil
}

func (s *Store) committed(ctx context.Context, name string) (Slot, bool) {
	found, known := Slot{}, false
	if all, err := s.Digest(ctx); err == nil {
		found, known = all[name]
	}
	if !known {
		return Slot{}, false
	}
	whole, err := s.Fetch(ctx, found)
	return whole, err == nil
}

func (s *Store) Digest(ctx context.Context) (map[string]Slot, error) {
	told := s.ask(ctx, Message{Operation: OperationDigest}, byGrant)
	if !told.agreed {
		return nil, ErrNoMajority
	}
	newest := map[string]Slot{}
	for _, reply := range told.replies {
		for _, slot := range reply.Slots {
			if slot.Newer(newest[slot.Key]) {
				newest[slot.Key] = slot
			}
		}
	}
	committed := map[string]Slot{}
	for name, slot := range newest {
		agreed := map[string]bool{}
		for address, reply := range told.replies {
			for _, other := range reply.Slots {
				agreed[address] = agreed[address] || reply.Granted && other.Key == name && other.Same(slot)
			}
		}
		if told.members.Quorum(agreed) {
			committed[name] = slot
		}
	}
	return committed, nil
}

const nearBound = 100 * time.Millisecond

func (s *Store) Fetch(ctx context.Context, wanted Slot) (Slot, error) {
	message := Message{Operation: OperationFetch, Key: wanted.Key, Sender: s.self, Members: s.Members()}
	near, cancel := context.WithTimeout(ctx, nearBound)
	reply, err := s.transport.Send(near, s.self, message)
	cancel()
	if err == nil && reply.Granted && reply.Slot.Same(wanted) {
		return reply.Slot, nil
	}
	var whole Slot
	s.askUntil(ctx, message, func(v *verdict) bool {
		for _, reply := range v.replies {
			if reply.Granted && reply.Slot.Same(wanted) {
				whole = reply.Slot
			}
		}
		return whole.Key != ""
	})
	if whole.Key == "" {
		return Slot{}, ErrNoMajority
	}
	return whole, nil
}

func (s *Store) Seize(ctx context.Context, name string, decide func(current Slot) json.RawMessage) (Slot, error) {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return Slot{}, err
	}
	defer key.leave()
	if err := s.take(ctx, key, name); err != nil {
		return Slot{}, err
	}
	next := key.slot
	next.Sequence++
	next.Value = decide(key.slot)
	if err := s.commit(ctx, key, next); err != nil {
		return Slot{}, err
	}
	key.slot = next
	return next, nil
}

func (s *Store) Renew(ctx context.Context, name string) error {
	key := s.key(name)
	if err := key.enter(ctx); err != nil {
		return err
	}
	defer key.leave()
	return s.confirm(ctx, key, name)
}
