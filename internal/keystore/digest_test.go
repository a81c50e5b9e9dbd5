package keystore

import (
	"testing"

	"gotest.tools/v3/assert"
)

func digestReply(diskIncarnation uint64, registers ...Register) Reply {
	for position := range registers {
		registers[position] = registers[position].WithoutValue()
	}
	return Reply{Granted: true, DiskIncarnation: diskIncarnation, Registers: registers}
}

func digestOf(replies map[string]Reply) Digest {
	result := &replySet{membership: testMembership, replies: replies}
	return result.digest()
}

func TestDigest_ValueOnMajorityIsCommitted(t *testing.T) {
	found := digestOf(map[string]Reply{
		"a": digestReply(1, acceptedRegister("x", 5, "v")),
		"b": digestReply(2, acceptedRegister("x", 5, "v")),
		"c": digestReply(3, acceptedRegister("x", 4, "u")),
	})
	assert.Assert(t, found.Committed["x"].SameProposal(acceptedRegister("x", 5, "v")))
	assert.Equal(t, len(found.Undecided), 0)
}

func TestDigest_NewerValueOnMinorityIsUndecided(t *testing.T) {
	found := digestOf(map[string]Reply{
		"a": digestReply(1, acceptedRegister("x", 6, "w")),
		"c": digestReply(3, acceptedRegister("x", 5, "v")),
	})
	assert.Equal(t, len(found.Committed), 0)
	assert.Assert(t, found.Undecided["x"].SameProposal(acceptedRegister("x", 6, "w")))
}

func TestDigest_IgnoresReplyFromBeforeDiskLoss(t *testing.T) {
	before := digestReply(1, acceptedRegister("x", 5, "v"))
	after := digestReply(2, acceptedRegister("x", 5, "v"))
	after.KnownDiskIncarnations = map[string]uint64{"a": 9}
	found := digestOf(map[string]Reply{"a": before, "b": after})
	assert.Equal(t, len(found.Committed), 0)
	assert.Assert(t, found.Undecided["x"].SameProposal(acceptedRegister("x", 5, "v")))
	before.DiskIncarnation = 9
	found = digestOf(map[string]Reply{"a": before, "b": after})
	assert.Assert(t, found.Committed["x"].SameProposal(acceptedRegister("x", 5, "v")))
}
