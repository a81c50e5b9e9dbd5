package keystore

// Digest lists the newest proposals of all keys, without values, according to a majority of members.
type Digest struct {
	// Committed holds, by key, the newest proposals that a quorum holds.
	Committed map[string]Register
	// Undecided holds, by key, the newest proposals that no quorum is known to hold: they may or may not have been
	// chosen. No older value of such a key may be taken for the one in force.
	Undecided map[string]Register
}

// EvaluateDigest returns the result of Store.Digest for the replies of a quorum.
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

// newestProposals returns the newest proposal of each key that any member holds.
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
