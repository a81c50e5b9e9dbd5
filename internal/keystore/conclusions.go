package keystore

// The functions here are the pure conclusions of a Store from replies, for callers that play
// proposers without a transport (internal/explore).

// Tally says whether a quorum of the members agrees, and whether one still may.
func Tally(members Members, replies map[string]Reply, agrees func(address string, reply Reply) bool) (agreed, possible bool) {
	asked := round{members: members, replies: replies}
	return asked.tally(agrees)
}

// Promises says whether the reply of a member to a PromiseMessage counts, by what the others tell of it.
func Promises(replies map[string]Reply, address string) bool {
	asked := round{replies: replies}
	return asked.promises(address, replies[address])
}

// ConcludeDigest is what Store.Digest concludes from the replies of a quorum.
func ConcludeDigest(members Members, replies map[string]Reply) Digest {
	asked := round{members: members, replies: replies}
	return asked.digest()
}

// ConcludeCatchUp is what Store.CatchUp installs from the replies to its question, and whether they are enough:
// either enough voting members have answered, or the judge of the founding finds it ready.
func ConcludeCatchUp(question CatchUpQuestion, replies map[string]Reply, judge FoundingJudge) (CatchUp, FoundingVerdict, bool) {
	asked := round{members: question.Members, replies: replies}
	read := CatchUp{Members: question.Members, Incarnation: question.Incarnation, Slots: asked.merged()}
	if asked.covers(question.Self) {
		return read, "", true
	}
	verdict := judge(question.Self, question.Members, replies)
	return read, verdict, verdict == FoundingReady
}

// SelfOf reads what a member notes of itself from its slots.
func SelfOf(slots map[string]Slot) Self { return readSelf(slots) }

// MembersOf reads the newest member list from a member's slots.
func MembersOf(slots map[string]Slot) Members { return readMembers(slots) }
