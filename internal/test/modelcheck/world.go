package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// world is a global state: the identifiers of the local states of all parts of the cluster.
type world struct {
	tick      int
	members   []stateID
	proposers []stateID
	// network holds the packets in transit, ordered by identifier. A packet may occur twice.
	network []stateID
	history stateID
	// wallClockOffsets holds by how many ticks each machine's wall clock was stepped.
	wallClockOffsets []int
	// remaining is how many faults of each kind may still occur.
	remaining Faults
}

func (w *world) clone() *world {
	copied := *w
	copied.members = slices.Clone(w.members)
	copied.proposers = slices.Clone(w.proposers)
	copied.network = slices.Clone(w.network)
	copied.wallClockOffsets = slices.Clone(w.wallClockOffsets)
	return &copied
}

// send puts a packet on the network.
func (w *world) send(id stateID) {
	at, _ := slices.BinarySearch(w.network, id)
	w.network = slices.Insert(w.network, at, id)
}

// hash returns the hash of the canonical encoding: counts, then identifiers, in a fixed order. With ten million worlds, the
// probability of any collision of the 64-bit hashes is 3 in a million.
func (w *world) hash() uint64 {
	var buffer [256]byte
	encoded := buffer[:0]
	counts := []int{
		w.tick,
		len(w.network),
		w.remaining.Crashes,
		w.remaining.Wipes,
		w.remaining.Restarts,
		w.remaining.Duplicates,
		w.remaining.Ticks,
		w.remaining.WallClockSteps,
	}
	for _, count := range counts {
		encoded = append(encoded, byte(count))
	}
	for _, offset := range w.wallClockOffsets {
		encoded = append(encoded, byte(offset))
	}
	for _, part := range [][]stateID{w.members, w.proposers, w.network, {w.history}} {
		for _, id := range part {
			encoded = binary.LittleEndian.AppendUint32(encoded, id)
		}
	}
	return xxhash.Sum64(encoded)
}
