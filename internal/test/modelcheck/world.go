package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// world is a state of the whole fleet, by the identifiers of its parts.
type world struct {
	tick      int
	members   []stateID
	proposers []stateID
	// network holds the packets under way, in order of their identifiers; one may be there twice.
	network []stateID
	history stateID
	// wallClockOffsets says by how many ticks each machine's wall clock was stepped.
	wallClockOffsets []int
	// remaining are the faults that may still happen.
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

// hash is that of the canonical encoding: counts, then identifiers, all in a fixed order. Two of
// ten million worlds share one of 64 bits with a chance of 3 in a million.
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
