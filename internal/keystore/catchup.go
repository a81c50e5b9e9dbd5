package keystore

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

func FreshSlots(members Members, incarnation uint64) []Slot {
	present, _ := json.Marshal(members)
	self, _ := json.Marshal(Self{Incarnation: incarnation, Voting: true, Number: members.Number})
	return []Slot{{Key: membersKey, Value: present}, {Key: selfKey, Value: self}}
}

func WipedSlots(incarnation uint64) []Slot {
	self, _ := json.Marshal(Self{Incarnation: incarnation})
	return []Slot{{Key: selfKey, Value: self}}
}

func (s *Store) CatchUp(ctx context.Context, acceptor *Acceptor) bool {
	self := acceptor.Self()
	if self.Voting {
		return true
	}
	members := s.Members()
	if !members.Has(s.self) {
		return false
	}
	message := Message{Operation: OperationCatchUp, Sender: s.self, Members: members, Incarnation: self.Incarnation}
	read := map[string]bool{}
	newest := map[string]Slot{}
	for _, address := range members.All() {
		if address == s.self {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, askBound)
		reply, err := s.transport.Send(bounded, address, message)
		cancel()
		if err != nil || !reply.Granted {
			continue
		}
		if s.Adopt(reply.Members) {
			return false
		}
		read[address] = true
		for _, slot := range reply.Slots {
			newest[slot.Key] = combine(newest[slot.Key], slot)
		}
	}
	if !members.Covered(s.self, read) {
		return false
	}
	value, _ := json.Marshal(Self{Incarnation: self.Incarnation, Voting: true, Number: members.Number})
	present, _ := json.Marshal(members)
	slots := []Slot{{Key: membersKey, Value: present}}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		slots = append(slots, newest[key])
	}
	slots = append(slots, Slot{Key: selfKey, Value: value})
	bounded, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return acceptor.Install(bounded, slots) == nil
}

func combine(left, right Slot) Slot {
	result := left
	if right.Newer(left) || left.Key == "" {
		result = right
	}
	result.Promised = max(left.Promised, right.Promised)
	return result
}
