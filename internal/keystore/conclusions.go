package keystore

// The functions here are the pure conclusions of a Store from replies, for callers that play
// proposers without a transport (internal/test/modelcheck).

// CountVotes says whether a quorum of the members agrees, and whether one still may.
func CountVotes(membership Membership, replies map[string]Reply, agrees func(address string, reply Reply) bool) (agreed, possible bool) {
	votes := round{members: membership, replies: replies}
	return votes.countVotes(agrees)
}

// CountsPromise says whether the reply of a member to a PrepareMessage counts, by what the others tell of it.
func CountsPromise(replies map[string]Reply, address string) bool {
	prepared := round{replies: replies}
	return prepared.countsPromise(address, replies[address])
}

// EvaluateDigest is what Store.Digest concludes from the replies of a quorum.
func EvaluateDigest(membership Membership, replies map[string]Reply) Digest {
	result := round{members: membership, replies: replies}
	return result.digest()
}

// EvaluateCatchUp is what Store.CatchUp installs from the replies to its question, and whether they are enough:
// either enough voting members have answered, or the judge of the founding finds it ready.
func EvaluateCatchUp(request CatchUpRequest, replies map[string]Reply, judge BootstrapJudge) (CatchUpResult, BootstrapVerdict, bool) {
	result := round{members: request.Membership, replies: replies}
	read := CatchUpResult{Membership: request.Membership, DiskIncarnation: request.DiskIncarnation, Registers: result.mergedRegisters()}
	if result.coversLostVotes(request.Self) {
		return read, "", true
	}
	verdict := judge(request.Self, request.Membership, replies)
	return read, verdict, verdict == BootstrapReady
}

// LocalStateOf reads what a member notes of itself from its slots.
func LocalStateOf(registers map[string]Register) LocalState { return readLocalState(registers) }

// MembershipOf reads the newest member list from a member's slots.
func MembershipOf(registers map[string]Register) Membership { return readMembership(registers) }
