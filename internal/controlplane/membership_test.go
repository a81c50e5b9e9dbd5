package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
)

func seen(addresses ...string) map[string]neighbour {
	found := map[string]neighbour{}
	for _, address := range addresses {
		found[address] = neighbour{address: address, heard: 100 * time.Millisecond}
	}
	return found
}

func TestGivenALostMemberThenOneNewcomerIsTakenInJointlyByTheFirstLiveMember(t *testing.T) {
	current := keystore.Members{Number: 4, Present: []string{"a", "b", "c"}}
	around := seen("b", "c", "d", "e")
	around["d"] = neighbour{address: "d", heard: 100 * time.Millisecond, joining: true}
	next, _ := nextMembers(current, "b", 3, around)
	assert.DeepEqual(t, next, keystore.Members{Number: 5, Present: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}})
	next, _ = nextMembers(current, "c", 3, around)
	assert.Equal(t, next.Number, uint64(0), "b is there and first")
	next, _ = nextMembers(current, "b", 3, seen("b", "c"))
	assert.Equal(t, next.Number, uint64(0), "nobody to take in")
	next, _ = nextMembers(current, "a", 3, seen("b", "c", "d"))
	assert.Equal(t, next.Number, uint64(0), "nobody is lost")
}

func TestGivenAJointChangeThenItEndsOnlyWithANewcomerThatReadUnderItsNumber(t *testing.T) {
	joint := keystore.Members{Number: 5, Present: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}}
	around := seen("b", "c", "d")
	around["d"] = neighbour{address: "d", heard: 100 * time.Millisecond, number: 3}
	next, _ := nextMembers(joint, "b", 3, around)
	assert.Equal(t, next.Number, uint64(0), "it voted under an older number only")
	around["d"] = neighbour{address: "d", heard: 100 * time.Millisecond, number: 5}
	next, _ = nextMembers(joint, "b", 3, around)
	assert.DeepEqual(t, next, keystore.Members{Number: 6, Present: []string{"d", "b", "c"}})
	around["d"] = neighbour{address: "d", heard: 10 * time.Second, number: 5}
	next, _ = nextMembers(joint, "b", 3, around)
	assert.DeepEqual(t, next, keystore.Members{Number: 6, Present: []string{"a", "b", "c"}})
}

func TestGivenMoreLossesToBearThanMembersAllowThenMembersAreAddedOneByOne(t *testing.T) {
	current := keystore.Members{Number: 1, Present: []string{"a", "b", "c"}}
	next, _ := nextMembers(current, "a", 5, seen("b", "c", "d", "e"))
	assert.DeepEqual(t, next, keystore.Members{Number: 2, Present: []string{"a", "b", "c"}, Next: []string{"a", "b", "c", "d"}})
	full := keystore.Members{Number: 5, Present: []string{"a", "b", "c", "d", "e"}}
	next, _ = nextMembers(full, "a", 5, seen("b", "c", "d", "e", "f"))
	assert.Equal(t, next.Number, uint64(0))
}
