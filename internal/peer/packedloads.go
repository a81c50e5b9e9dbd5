package peer

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// packedTokenUnit is the unit, in tokens, that packed loads are rounded up to.
	packedTokenUnit = 100
	// digestShift leaves 52 bits of a digest, which survive JSON readers that keep numbers as floats.
	digestShift = 12
	// maxPackedTokens bounds what a packed number may stand for, so that a damaged message can't overflow a sum.
	maxPackedTokens = 1 << 40
)

// ReplicaIDs are the ids of replicas in an order that sender and receiver of packed loads share. It is immutable.
type ReplicaIDs struct {
	IDs []string
	// Digest tells lists with other ids or another order apart. That of an empty list is zero.
	Digest uint64
}

// NewReplicaIDs returns the list of some ids in their order. The slice must not be changed afterwards.
func NewReplicaIDs(ids []string) ReplicaIDs {
	return ReplicaIDs{IDs: ids, Digest: Digest(ids)}
}

// Digest tells lists of names apart that differ in a name or the order, as far as a hash does. That of an empty list is
// zero.
func Digest(names []string) uint64 {
	if len(names) == 0 {
		return 0
	}
	hash := xxhash.New()
	for _, name := range names {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64() >> digestShift
}

// PackedLoads holds the numbers of loads in the order of a list of replica ids, which is much shorter than a map by id.
// Outcomes are not among them.
type PackedLoads struct {
	// Version is the digest of the replica ids in their order.
	Version uint64 `json:"m"`
	// Running, Tokens and PrefillTokens are lists of numbers in an older form, with zeros at the end left out. Tokens and
	// PrefillTokens are in hundreds of tokens. They are read where Encoded is empty.
	Running       []int `json:"r,omitempty"`
	Tokens        []int `json:"k,omitempty"`
	PrefillTokens []int `json:"p,omitempty"`
	// Encoded holds the same three numbers for each replica as unsigned varints; replicas without load at the end are left
	// out.
	Encoded []byte `json:"e,omitempty"`
}

// PackLoads packs loads by replica id. It returns false, and nothing packed, if a replica is not among the ids.
func PackLoads(ids ReplicaIDs, loads map[string]ReplicaLoad) (packed *PackedLoads, complete bool) {
	if len(ids.IDs) == 0 {
		return nil, false
	}
	packed = &PackedLoads{Version: ids.Digest}
	found, used := 0, 0
	for _, id := range ids.IDs {
		load, known := loads[id]
		if known {
			found++
		}
		packed.Encoded = binary.AppendUvarint(packed.Encoded, uint64(max(load.Running, 0)))
		packed.Encoded = binary.AppendUvarint(packed.Encoded, packTokens(load.Tokens))
		packed.Encoded = binary.AppendUvarint(packed.Encoded, packTokens(load.PrefillTokens))
		if load.Running > 0 || load.Tokens > 0 || load.PrefillTokens > 0 {
			used = len(packed.Encoded)
		}
	}
	if found < len(loads) {
		return nil, false
	}
	packed.Encoded = packed.Encoded[:used]
	return packed, true
}

// packTokens converts tokens to packed units, rounding up.
func packTokens(tokens float64) uint64 {
	return uint64(math.Ceil(min(max(tokens, 0), maxPackedTokens) / packedTokenUnit))
}

// Unpack returns the loads by replica id, or false if they were packed by another list or can't be read.
func (p *PackedLoads) Unpack(ids ReplicaIDs) (loads map[string]ReplicaLoad, known bool) {
	if p.Version != ids.Digest {
		return nil, false
	}
	if len(p.Encoded) == 0 {
		return p.unpackLists(ids)
	}
	loads = map[string]ReplicaLoad{}
	rest := p.Encoded
	for _, id := range ids.IDs {
		if len(rest) == 0 {
			break
		}
		var numbers [3]uint64
		for index := range numbers {
			number, length := binary.Uvarint(rest)
			if length <= 0 || number > maxPackedTokens {
				return nil, false
			}
			numbers[index], rest = number, rest[length:]
		}
		addUnpacked(loads, id, int(numbers[0]), int(numbers[1]), int(numbers[2]))
	}
	return loads, len(rest) == 0
}

// unpackLists unpacks the older form.
func (p *PackedLoads) unpackLists(ids ReplicaIDs) (loads map[string]ReplicaLoad, known bool) {
	if max(len(p.Running), len(p.Tokens), len(p.PrefillTokens)) > len(ids.IDs) {
		return nil, false
	}
	loads = map[string]ReplicaLoad{}
	for index, id := range ids.IDs {
		addUnpacked(loads, id, valueAt(p.Running, index), valueAt(p.Tokens, index), valueAt(p.PrefillTokens, index))
	}
	return loads, true
}

// addUnpacked adds the load of a replica, unless it has none.
func addUnpacked(loads map[string]ReplicaLoad, id string, running, tokens, prefillTokens int) {
	load := ReplicaLoad{
		Running:       running,
		Tokens:        packedTokenUnit * float64(tokens),
		PrefillTokens: packedTokenUnit * float64(prefillTokens),
	}
	if load != (ReplicaLoad{}) {
		loads[id] = load
	}
}

// valueAt returns the value at the index, or 0 beyond the list's end.
func valueAt(values []int, index int) int {
	if index < len(values) {
		return values[index]
	}
	return 0
}

// OutcomesOnly returns the outcomes among loads by replica id, without the numbers that are packed.
func OutcomesOnly(loads map[string]ReplicaLoad) map[string]ReplicaLoad {
	outcomes := map[string]ReplicaLoad{}
	for id, load := range loads {
		load.Running, load.Tokens, load.PrefillTokens = 0, 0, 0
		if load != (ReplicaLoad{}) {
			outcomes[id] = load
		}
	}
	return outcomes
}

// MergeOutcomes adds outcomes by replica id to loads that were unpacked.
func MergeOutcomes(loads, outcomes map[string]ReplicaLoad) {
	for id, load := range outcomes {
		unpacked := loads[id]
		load.Running, load.Tokens, load.PrefillTokens = unpacked.Running, unpacked.Tokens, unpacked.PrefillTokens
		loads[id] = load
	}
}

// Unpacked returns a fleet's load with the loads by replica id, or false if they were packed by another list.
func (l FleetLoad) Unpacked(ids ReplicaIDs) (unpacked FleetLoad, known bool) {
	if l.Packed == nil {
		return l, true
	}
	loads, known := l.Packed.Unpack(ids)
	if !known {
		return FleetLoad{}, false
	}
	MergeOutcomes(loads, l.Replicas)
	return FleetLoad{Total: l.Total, Replicas: loads}, true
}

// SortedReplicaIDs returns the list of a set of ids, ordered by id.
func SortedReplicaIDs(set map[string]bool) ReplicaIDs {
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return NewReplicaIDs(ids)
}
