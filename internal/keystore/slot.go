package keystore

import (
	"encoding/json"
	"strings"
)

// Slot is what one member holds of one key: the highest ballot that it promised, and the
// newest value that it accepted with the ballot and sequence under which it did.
type Slot struct {
	Key      string          `json:"key"`
	Promised Ballot          `json:"promised,omitzero"`
	Ballot   Ballot          `json:"ballot,omitzero"`
	Sequence uint64          `json:"sequence"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Newer says whether the value of s was proposed after that of other.
func (s Slot) Newer(other Slot) bool {
	if s.Ballot != other.Ballot {
		return other.Ballot.Less(s.Ballot)
	}
	return s.Sequence > other.Sequence
}

// Same says whether both hold the same proposal, and so the same value.
func (s Slot) Same(other Slot) bool { return s.Ballot == other.Ballot && s.Sequence == other.Sequence }

// Accepted says whether any value was accepted.
func (s Slot) Accepted() bool { return !s.Ballot.IsZero() }

// Bare is the slot without its value.
func (s Slot) Bare() Slot {
	s.Value = nil
	return s
}

// Keys of the control state, and the prefixes of families of keys.
const (
	LeasePrefix      = "tenure/"
	MembersKey       = "members"
	ConfigurationKey = "layout"
	ZonePrefix       = "area/"
	RetentionKey     = "retention"
	ForgetKey        = "forget"
	DrillKey         = "drill"
)

// Slots under a reserved key are a member's own notes; no proposer writes them.
const (
	reservedPrefix = "!"
	selfKey        = "!self"
	membersKey     = "!members"
	knownPrefix    = "!known/"
)

func reserved(key string) bool { return strings.HasPrefix(key, reservedPrefix) }

func leased(key string) bool { return strings.HasPrefix(key, LeasePrefix) }

// Self is what a member notes of itself. Incarnation changes with each loss of its disk.
// A member that is not Voting promises, accepts and grants nothing. Number is that of the
// member list under which it caught up.
type Self struct {
	Incarnation uint64 `json:"incarnation"`
	Voting      bool   `json:"voting"`
	Number      uint64 `json:"number"`
	// Completed says that the member has seen every founder vote under the founding list.
	Completed bool `json:"completed,omitempty"`
}

func readSelf(slots map[string]Slot) Self {
	var self Self
	_ = json.Unmarshal(slots[selfKey].Value, &self)
	return self
}

func readMembers(slots map[string]Slot) Members {
	var members Members
	_ = json.Unmarshal(slots[membersKey].Value, &members)
	return members
}

func selfSlot(self Self) Slot {
	value, _ := json.Marshal(self)
	return Slot{Key: selfKey, Value: value}
}

func membersSlot(members Members) Slot {
	value, _ := json.Marshal(members)
	return Slot{Key: membersKey, Value: value}
}

// knownSlot notes the incarnation of another member. Its sequence counts the incarnations of
// that member that caught up here.
func knownSlot(before Slot, member string, incarnation uint64) Slot {
	value, _ := json.Marshal(incarnation)
	noted := Slot{Key: knownPrefix + member, Sequence: max(before.Sequence, 1), Value: value}
	if known := readIncarnation(before); known != 0 && known != incarnation {
		noted.Sequence++
	}
	return noted
}

func readIncarnation(noted Slot) uint64 {
	var incarnation uint64
	_ = json.Unmarshal(noted.Value, &incarnation)
	return incarnation
}

func knownIncarnation(slots map[string]Slot, member string) uint64 {
	return readIncarnation(slots[knownPrefix+member])
}

func knownIncarnations(slots map[string]Slot) map[string]uint64 {
	var known map[string]uint64
	for key := range slots {
		member, found := strings.CutPrefix(key, knownPrefix)
		if !found {
			continue
		}
		if known == nil {
			known = map[string]uint64{}
		}
		known[member] = knownIncarnation(slots, member)
	}
	return known
}

// FreshSlots is the first state of a founding member of a fleet that starts for the first time.
func FreshSlots(members Members, incarnation uint64) []Slot {
	return []Slot{membersSlot(members), selfSlot(Self{Incarnation: incarnation, Voting: true, Number: members.Number})}
}

// WipedSlots is the first state of a member that has no disk state, or may have lost a part of
// it: it does not vote until it has read enough of the others.
func WipedSlots(incarnation uint64) []Slot {
	return []Slot{selfSlot(Self{Incarnation: incarnation})}
}

func copySlots(slots map[string]Slot) map[string]Slot {
	copied := make(map[string]Slot, len(slots))
	for key, slot := range slots {
		copied[key] = slot
	}
	return copied
}
