package keystore

// Digest is what a majority of members hold of all keys, without values.
type Digest struct {
	// Committed holds the newest proposal of each key that a quorum holds.
	Committed map[string]Register
	// Undecided holds the newest proposal of each key where no quorum is known to hold it: it may have been chosen or
	// not. No older value of such a key may count as the one in force.
	Undecided map[string]Register
}

// EvaluateDigest is what Store.Digest concludes from the replies of a quorum.
func EvaluateDigest(membership Membership, replies map[string]Reply) Digest {
	result := replySet{membership: membership, replies: replies}
	return result.digest()
}

func (r *replySet) digest() Digest {
	digest := Digest{Committed: map[string]Register{}, Undecided: map[string]Register{}}
	for name, newest := range r.newestProposals() {
		holds := func(address string, reply Reply) bool { return reply.holds(newest) && !r.predatesDiskLoss(address) }
		if agreed, _ := r.countVotes(holds); agreed {
			digest.Committed[name] = newest
		} else {
			digest.Undecided[name] = newest
		}
	}
	return digest
}

// newestProposals are the newest proposals that any member holds, by key.
func (r *replySet) newestProposals() map[string]Register {
	newest := map[string]Register{}
	for address, reply := range r.replies {
		if r.predatesDiskLoss(address) {
			continue
		}
		for _, register := range reply.Registers {
			if register.NewerThan(newest[register.Key]) {
				newest[register.Key] = register
			}
		}
	}
	return newest
}
