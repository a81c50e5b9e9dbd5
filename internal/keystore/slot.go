package keystore

import (
	"encoding/json"
	"strings"
)

// Register is what one member holds of one key: the highest ballot that it promised, and the
// newest value that it accepted with the ballot and sequence under which it did.
type Register struct {
	Key              string          `json:"key"`
	Promised         ProposalNumber  `json:"promised,omitzero"`
	AcceptedProposal ProposalNumber  `json:"ballot,omitzero"`
	Sequence         uint64          `json:"sequence"`
	Value            json.RawMessage `json:"value,omitempty"`
}

// Newer says whether the value of s was proposed after that of other.
func (r Register) NewerThan(other Register) bool {
	if r.AcceptedProposal != other.AcceptedProposal {
		return other.AcceptedProposal.Less(r.AcceptedProposal)
	}
	return r.Sequence > other.Sequence
}

// Same says whether both hold the same proposal, and so the same value.
func (r Register) SameProposal(other Register) bool {
	return r.AcceptedProposal == other.AcceptedProposal && r.Sequence == other.Sequence
}

// Accepted says whether any value was accepted.
func (r Register) IsAccepted() bool { return !r.AcceptedProposal.IsZero() }

// Bare is the slot without its value.
func (r Register) WithoutValue() Register {
	r.Value = nil
	return r
}

// Keys of the control state, and the prefixes of families of keys.
const (
	LeasePrefix      = "tenure/"
	MembershipKey    = "members"
	ConfigurationKey = "layout"
	ZonePrefix       = "area/"
	RetentionKey     = "retention"
	ForgetKey        = "forget"
	DrillKey         = "drill"
)

// Slots under a reserved key are a member's own notes; no proposer writes them.
const (
	reservedPrefix        = "!"
	localStateKey         = "!self"
	localMembershipKey    = "!members"
	diskIncarnationPrefix = "!known/"
)

func isReserved(key string) bool { return strings.HasPrefix(key, reservedPrefix) }

func isLease(key string) bool { return strings.HasPrefix(key, LeasePrefix) }

// LocalState is what a member notes of itself. Incarnation changes with each loss of its disk.
// A member that is not Voting promises, accepts and grants nothing. Number is that of the
// member list under which it caught up.
type LocalState struct {
	DiskIncarnation   uint64 `json:"incarnation"`
	Voting            bool   `json:"voting"`
	MembershipVersion uint64 `json:"number"`
	// Completed says that the member has seen every founder vote under the founding list.
	BootstrapCompleted bool `json:"completed,omitempty"`
}

func readLocalState(registers map[string]Register) LocalState {
	var self LocalState
	_ = json.Unmarshal(registers[localStateKey].Value, &self)
	return self
}

func readMembership(registers map[string]Register) Membership {
	var membership Membership
	_ = json.Unmarshal(registers[localMembershipKey].Value, &membership)
	return membership
}

func localStateRegister(self LocalState) Register {
	value, _ := json.Marshal(self)
	return Register{Key: localStateKey, Value: value}
}

func membershipRegister(membership Membership) Register {
	value, _ := json.Marshal(membership)
	return Register{Key: localMembershipKey, Value: value}
}

// diskIncarnationRegister notes the incarnation of another member. Its sequence counts the incarnations of
// that member that caught up here.
func diskIncarnationRegister(previous Register, member string, diskIncarnation uint64) Register {
	value, _ := json.Marshal(diskIncarnation)
	register := Register{Key: diskIncarnationPrefix + member, Sequence: max(previous.Sequence, 1), Value: value}
	if known := readDiskIncarnation(previous); known != 0 && known != diskIncarnation {
		register.Sequence++
	}
	return register
}

func readDiskIncarnation(register Register) uint64 {
	var diskIncarnation uint64
	_ = json.Unmarshal(register.Value, &diskIncarnation)
	return diskIncarnation
}

func knownDiskIncarnation(registers map[string]Register, member string) uint64 {
	return readDiskIncarnation(registers[diskIncarnationPrefix+member])
}

func knownDiskIncarnations(registers map[string]Register) map[string]uint64 {
	var known map[string]uint64
	for key := range registers {
		member, found := strings.CutPrefix(key, diskIncarnationPrefix)
		if !found {
			continue
		}
		if known == nil {
			known = map[string]uint64{}
		}
		known[member] = knownDiskIncarnation(registers, member)
	}
	return known
}

// BootstrapRegisters is the first state of a founding member of a fleet that starts for the first time.
func BootstrapRegisters(membership Membership, diskIncarnation uint64) []Register {
	return []Register{membershipRegister(membership), localStateRegister(LocalState{DiskIncarnation: diskIncarnation, Voting: true, MembershipVersion: membership.Version})}
}

// WipedRegisters is the first state of a member that has no disk state, or may have lost a part of
// it: it does not vote until it has read enough of the others.
func WipedRegisters(diskIncarnation uint64) []Register {
	return []Register{localStateRegister(LocalState{DiskIncarnation: diskIncarnation})}
}

func copyRegisters(registers map[string]Register) map[string]Register {
	copied := make(map[string]Register, len(registers))
	for key, register := range registers {
		copied[key] = register
	}
	return copied
}
