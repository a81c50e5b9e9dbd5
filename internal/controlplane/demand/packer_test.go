package demand

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// tokenUnit is the unit of packed tokens.
const tokenUnit = 100

func TestPacker_UnpacksOnlyWithSameRoster(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		var listed []discovery.Replica
		summary := peer.LoadSummary{Replicas: map[string]peer.ReplicaLoad{}}
		for index := range 1 + random.IntN(40) {
			id := fmt.Sprintf("i-%03d", index)
			listed = append(listed, discovery.Replica{ID: id})
			if random.IntN(2) == 0 {
				summary.Replicas[id] = peer.ReplicaLoad{
					Running:       1 + random.IntN(12),
					Tokens:        float64(random.IntN(9)) * tokenUnit,
					PrefillTokens: float64(random.IntN(3)) * tokenUnit,
				}
			}
		}
		sender, receiver := &packer{}, &packer{}
		packed := sender.pack(summary, listed)
		unpacked, known := receiver.unpack(packed.Packed, append([]discovery.Replica{}, listed...))
		assert.Assert(t, known)
		assert.DeepEqual(t, unpacked, summary.Replicas)
		_, known = (&packer{}).unpack(packed.Packed, append(listed, discovery.Replica{ID: "i-999"}))
		assert.Assert(t, !known)
		summary.Replicas["unlisted"] = peer.ReplicaLoad{Running: 1}
		assert.Assert(t, sender.pack(summary, listed).Packed == nil, "nothing is packed if a replica is not listed")
	}
}
