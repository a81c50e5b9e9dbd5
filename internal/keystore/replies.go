package keystore

// VoteFunc reports whether the reply of a member counts as agreement.
type VoteFunc func(address string, reply Reply) bool

// replySet holds the replies to one message, by address, with the membership under which they are counted as votes. A
// member that has not replied yet is absent. All methods are pure.
type replySet struct {
	membership Membership
	replies    map[string]Reply
}

// CountVotes reports whether a quorum of the membership agrees, and whether one still can once the remaining members
// have replied. It is for callers that act as a proposer without a transport, such as internal/test/modelcheck.
func CountVotes(membership Membership, replies map[string]Reply, agrees VoteFunc) (agreed, possible bool) {
	votes := replySet{membership: membership, replies: replies}
	return votes.countVotes(agrees)
}

// CountsPromise reports whether the reply of a member to a PrepareMessage counts, given the replies of the other
// members.
func CountsPromise(replies map[string]Reply, address string) bool {
	prepared := replySet{replies: replies}
	return prepared.countsPromise(address, replies[address])
}

func (r *replySet) countVotes(agrees VoteFunc) (agreed, possible bool) {
	agreeing, undecided := map[string]bool{}, map[string]bool{}
	for _, address := range r.membership.All() {
		reply, known := r.replies[address]
		agreeing[address] = known && agrees(address, reply)
		undecided[address] = !known || agreeing[address]
	}
	return r.membership.HasQuorum(agreeing), r.membership.HasQuorum(undecided)
}

// countsPromise reports whether a reply is a promise that its member still keeps. A member that has lost its disk reads
// enough other members before it votes again that any quorum includes a member that knows of the loss, or one that had
// already promised when it was read. Without this check a proposer could own a key on the strength of a promise that
// the member has forgotten.
func (r *replySet) countsPromise(address string, reply Reply) bool {
	return reply.Granted && !r.predatesDiskLoss(address)
}

// promiseVotes returns the VoteFunc for replies to a PrepareMessage.
func promiseVotes(replies *replySet) VoteFunc { return replies.countsPromise }

// predatesDiskLoss reports whether a member replied before it lost its disk, according to the reply of another member.
// Such a reply says nothing about what the member holds now.
func (r *replySet) predatesDiskLoss(address string) bool {
	reply := r.replies[address]
	for _, other := range r.replies {
		if known := other.KnownDiskIncarnations[address]; known != 0 && known != reply.DiskIncarnation {
			return true
		}
	}
	return false
}

// prepareError returns the reason why a prepare round reached no quorum.
func (r *replySet) prepareError() error {
	for _, reply := range r.replies {
		if !reply.Granted && reply.Rejection.isContended() {
			return ErrContended
		}
	}
	return ErrNoMajority
}

// find returns the value of a proposal from the replies to an OperationFetch.
func (r *replySet) find(proposal Register) (Register, bool) {
	for _, reply := range r.replies {
		if reply.Granted && reply.Register.SameProposal(proposal) {
			return reply.Register, true
		}
	}
	return Register{}, false
}

// isGranted is the VoteFunc for operations whose replies are counted independently of each other.
func isGranted(_ string, reply Reply) bool { return reply.Granted }
