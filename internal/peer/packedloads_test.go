package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func randomIDs(random *rand.Rand) ReplicaIDs {
	var ids []string
	for index := range 1 + random.IntN(60) {
		ids = append(ids, fmt.Sprintf("i-%03d", index))
	}
	return NewReplicaIDs(ids)
}

func TestPackedLoads_UnpackReturnsWhatWasPacked(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 9))
		ids := randomIDs(random)
		loads := map[string]ReplicaLoad{}
		for _, id := range ids.IDs {
			load := ReplicaLoad{
				Running:       random.IntN(3) * random.IntN(300),
				Tokens:        packedTokenUnit * float64(random.IntN(2)*random.IntN(3000)),
				PrefillTokens: packedTokenUnit * float64(random.IntN(2)*random.IntN(40)),
			}
			if load != (ReplicaLoad{}) {
				loads[id] = load
			}
		}
		packed, complete := PackLoads(ids, loads)
		assert.Assert(t, complete)
		unpacked, known := packed.Unpack(ids)
		assert.Assert(t, known)
		assert.DeepEqual(t, unpacked, loads)
		t.Run("another list of replicas", func(t *testing.T) {
			_, known := packed.Unpack(NewReplicaIDs(append([]string{"i-x"}, ids.IDs...)))
			assert.Assert(t, !known)
		})
		t.Run("a replica that is not in the list", func(t *testing.T) {
			loads["unlisted"] = ReplicaLoad{Running: 1}
			_, complete := PackLoads(ids, loads)
			assert.Assert(t, !complete)
		})
	}
}

func TestPackedLoads_RejectsDamagedEncoding(t *testing.T) {
	ids := NewReplicaIDs([]string{"i-1", "i-2"})
	packed, _ := PackLoads(ids, map[string]ReplicaLoad{"i-1": {Running: 300}, "i-2": {Running: 2, Tokens: 100}})
	const firstReplica = 4 // bytes: 2 for 300, 1 for each 0
	assert.Equal(t, len(packed.Encoded), firstReplica+3)
	for length := 1; length < len(packed.Encoded); length++ {
		_, known := (&PackedLoads{Version: ids.Digest, Encoded: packed.Encoded[:length]}).Unpack(ids)
		assert.Equal(t, known, length == firstReplica, "truncated after %d bytes: only complete replicas may be omitted", length)
	}
	_, known := (&PackedLoads{Version: ids.Digest, Encoded: append(packed.Encoded, 1, 1, 1)}).Unpack(ids)
	assert.Assert(t, !known, "more replicas than the list has")
	tooLarge := []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0, 0}
	_, known = (&PackedLoads{Version: ids.Digest, Encoded: tooLarge}).Unpack(ids)
	assert.Assert(t, !known)
}

func TestPackedLoads_ReadsOlderLists(t *testing.T) {
	ids := NewReplicaIDs([]string{"i-1", "i-2", "i-3"})
	older := PackedLoads{Version: ids.Digest, Running: []int{0, 4}, Tokens: []int{0, 2}}
	loads, known := older.Unpack(ids)
	assert.Assert(t, known)
	assert.DeepEqual(t, loads, map[string]ReplicaLoad{"i-2": {Running: 4, Tokens: 200}})
}
