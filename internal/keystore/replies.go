package keystore

// VoteFunc says whether the reply of a member counts as agreement.
type VoteFunc func(address string, reply Reply) bool

// replySet is what members replied to one message, by address, with the membership under which their votes count. A
// member that has not replied yet is not in it. All its methods are pure.
type replySet struct {
	membership Membership
	replies    map[string]Reply
}

// CountVotes says whether a quorum of the membership agrees, and whether one still may once the others have replied. It
// is for callers that play a proposer without a transport, as internal/test/modelcheck does.
func CountVotes(membership Membership, replies map[string]Reply, agrees VoteFunc) (agreed, possible bool) {
	votes := replySet{membership: membership, replies: replies}
	return votes.countVotes(agrees)
}

// CountsPromise says whether the reply of a member to a PrepareMessage counts, by what the others tell of that member.
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

// countsPromise says that a reply is a promise that still binds its giver. A member that lost its disk catches up
// from so many others before it votes again that one of any quorum either knows of the loss, or had promised before and
// was read by that member. Without this check a proposer could own a key on a promise that its giver has forgotten.
func (r *replySet) countsPromise(address string, reply Reply) bool {
	return reply.Granted && !r.predatesDiskLoss(address)
}

// promiseVotes is the VoteFunc of the replies to a PrepareMessage.
func promiseVotes(replies *replySet) VoteFunc { return replies.countsPromise }

// predatesDiskLoss says that a member replied before it lost its disk, as the reply of another one shows: the reply says
// nothing about what that member holds now.
func (r *replySet) predatesDiskLoss(address string) bool {
	reply := r.replies[address]
	for _, other := range r.replies {
		if known := other.KnownDiskIncarnations[address]; known != 0 && known != reply.DiskIncarnation {
			return true
		}
	}
	return false
}

// prepareError says why a prepare got no quorum.
func (r *replySet) prepareError() error {
	for _, reply := range r.replies {
		if !reply.Granted && reply.Rejection.isContended() {
			return ErrContended
		}
	}
	return ErrNoMajority
}

// find looks for the value of a proposal among the replies to an OperationFetch.
func (r *replySet) find(proposal Register) (Register, bool) {
	for _, reply := range r.replies {
		if reply.Granted && reply.Register.SameProposal(proposal) {
			return reply.Register, true
		}
	}
	return Register{}, false
}

// isGranted is the VoteFunc of messages whose replies depend on nothing else.
func isGranted(_ string, reply Reply) bool { return reply.Granted }
