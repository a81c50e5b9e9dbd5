package keystore

import (
	"encoding/json"
	"strings"
)

// LocalState is what a member stores about itself.
type LocalState struct {
	// DiskIncarnation is a random number that is drawn anew after each loss of the disk. It distinguishes a promise
	// given before the loss from one given after it. Otherwise a proposer could count a promise that the member has
	// forgotten, and an acknowledged value could be replaced.
	DiskIncarnation uint64 `json:"incarnation"`
	// Voting is whether the member has a vote. Without one, which it gets only once it has caught up, it promises,
	// accepts and grants nothing.
	Voting bool `json:"voting"`
	// MembershipVersion is that of the membership under which the member caught up, 0 if it never voted.
	MembershipVersion uint64 `json:"number"`
	// BootstrapCompleted is whether the member has seen every initial member vote under the first membership.
	BootstrapCompleted bool `json:"completed,omitempty"`
}

// LocalStateOf decodes the member's local state from its registers.
func LocalStateOf(registers map[string]Register) LocalState {
	var state LocalState
	_ = json.Unmarshal(registers[localStateKey].Value, &state)
	return state
}

// MembershipOf decodes the newest membership that a member knows from its registers.
func MembershipOf(registers map[string]Register) Membership {
	return decodeMembership(registers[localMembershipKey])
}

// BootstrapRegisters returns the first state of an initial member of a system that starts for the first time.
func BootstrapRegisters(membership Membership, diskIncarnation uint64) []Register {
	state := LocalState{
		DiskIncarnation:   diskIncarnation,
		Voting:            true,
		MembershipVersion: membership.Version,
	}
	return []Register{membershipRegister(membership), localStateRegister(state)}
}

// WipedRegisters returns the first state of a member that has no state on disk, or may have lost a part of it. It has
// no vote until it has read enough other members.
func WipedRegisters(diskIncarnation uint64) []Register {
	return []Register{localStateRegister(LocalState{DiskIncarnation: diskIncarnation})}
}

func localStateRegister(state LocalState) Register {
	value, _ := json.Marshal(state)
	return Register{Key: localStateKey, Value: value}
}

func membershipRegister(membership Membership) Register {
	value, _ := json.Marshal(membership)
	return Register{Key: localMembershipKey, Value: value}
}

// diskIncarnationRegister returns the register that records the disk incarnation of another member that catches up from
// this one. Its sequence counts that member's incarnations that did so.
func diskIncarnationRegister(previous Register, member string, diskIncarnation uint64) Register {
	value, _ := json.Marshal(diskIncarnation)
	register := Register{
		Key:      diskIncarnationPrefix + member,
		Sequence: max(previous.Sequence, 1),
		Value:    value,
	}
	if known := readDiskIncarnation(previous); known != 0 && known != diskIncarnation {
		register.Sequence++
	}
	return register
}

// readDiskIncarnation decodes the disk incarnation in a register, and returns 0 if there is none.
func readDiskIncarnation(register Register) uint64 {
	var diskIncarnation uint64
	_ = json.Unmarshal(register.Value, &diskIncarnation)
	return diskIncarnation
}

// knownDiskIncarnation returns the newest disk incarnation of another member that is known here, 0 if there is none.
func knownDiskIncarnation(registers map[string]Register, member string) uint64 {
	return readDiskIncarnation(registers[diskIncarnationPrefix+member])
}

// knownDiskIncarnations returns all known disk incarnations by member, and nil if there are none.
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
