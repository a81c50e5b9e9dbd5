package peer

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// packedTokenUnit is the resolution, in tokens, of packed loads; values are rounded up.
	packedTokenUnit = 100
	// digestShift reduces a digest to 52 bits, which JSON decoders that use floats represent exactly.
	digestShift = 12
	// maxPackedTokens bounds decoded numbers, so that a corrupt message can't overflow a sum.
	maxPackedTokens = 1 << 40
)

// ReplicaIDs is a list of replica ids in the order shared by the sender and receiver of packed loads. It is immutable.
type ReplicaIDs struct {
	IDs []string
	// Digest identifies the ids and their order. It is zero for an empty list.
	Digest uint64
}

// NewReplicaIDs returns the list of ids in the given order. The slice must not be modified afterwards.
func NewReplicaIDs(ids []string) ReplicaIDs {
	return ReplicaIDs{IDs: ids, Digest: Digest(ids)}
}

// Digest returns a hash of names that depends on their order, or zero for an empty list.
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

// PackedLoads holds load numbers in the order of a list of replica ids, which is much more compact than a map by id. It does
// not include outcomes.
type PackedLoads struct {
	// Version is the digest of the list of replica ids.
	Version uint64 `json:"m"`
	// Running, Tokens and PrefillTokens are the older encoding, used if Encoded is empty: one number per replica, without
	// trailing zeros. Tokens and PrefillTokens are in hundreds of tokens.
	Running       []int `json:"r,omitempty"`
	Tokens        []int `json:"k,omitempty"`
	PrefillTokens []int `json:"p,omitempty"`
	// Encoded holds the same three numbers per replica as unsigned varints, without trailing replicas that have no load.
	Encoded []byte `json:"e,omitempty"`
}

// PackLoads encodes loads by replica id. It returns nil and false if ids is empty or does not contain all replicas.
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

// packTokens converts tokens to units of packedTokenUnit, rounding up.
func packTokens(tokens float64) uint64 {
	return uint64(math.Ceil(min(max(tokens, 0), maxPackedTokens) / packedTokenUnit))
}

// Unpack returns the loads by replica id, or false if they were packed with another list of ids or are corrupt.
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

// unpackLists decodes the older encoding.
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

// addUnpacked adds the load of a replica unless it is zero.
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

// valueAt returns the value at the index, or 0 if the index is out of range.
func valueAt(values []int, index int) int {
	if index < len(values) {
		return values[index]
	}
	return 0
}

// OutcomesOnly returns the loads by replica id without the numbers that PackLoads encodes.
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

// MergeOutcomes adds outcomes by replica id to unpacked loads.
func MergeOutcomes(loads, outcomes map[string]ReplicaLoad) {
	for id, load := range outcomes {
		unpacked := loads[id]
		load.Running, load.Tokens, load.PrefillTokens = unpacked.Running, unpacked.Tokens, unpacked.PrefillTokens
		loads[id] = load
	}
}

// Unpacked returns the load with Packed decoded into Replicas, or false if it was packed with another list of ids.
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

// SortedReplicaIDs returns the ids of a set in ascending order.
func SortedReplicaIDs(set map[string]bool) ReplicaIDs {
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return NewReplicaIDs(ids)
}
