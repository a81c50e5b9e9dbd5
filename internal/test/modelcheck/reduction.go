package modelcheck

import (
	"slices"

	"ferryspar/internal/keystore"
)

// dropIrrelevant takes packets off the network that cannot matter any more. Each delivery of one would leave every member
// and proposer as it is, now and in all worlds that follow, so the worlds with and without it have the same futures but
// for that delivery.
func (m *model) dropIrrelevant(w *world) {
	w.network = slices.DeleteFunc(w.network, func(id stateID) bool {
		message := m.packets.get(id)
		sender := m.proposers.get(w.proposers[message.Proposer])
		switch {
		case message.Reply != nil:
			return m.replyIsIrrelevant(sender, message)
		case message.Request != nil:
			return m.requestIsIrrelevant(w, sender, message)
		}
		return message.Incarnation != sender.Incarnation
	})
}

// isCurrent says whether the packet belongs to the round that its sender is in.
func isCurrent(sender *proposer, message *packet) bool {
	return message.Incarnation == sender.Incarnation && message.Round == sender.Round && sender.Phase != phaseIdle
}

// replyIsIrrelevant: a reply to a former incarnation reaches nobody, one to a proposer that is done is not acted on, and
// one to a former round only tells of proposal numbers and memberships; what an incarnation has seen of both only rises.
func (m *model) replyIsIrrelevant(sender *proposer, message *packet) bool {
	if message.Incarnation != sender.Incarnation || sender.done() {
		return true
	}
	return !isCurrent(sender, message) && tellsNothingNew(sender, message.Reply)
}

func tellsNothingNew(sender *proposer, reply *keystore.Reply) bool {
	return reply.Membership.Version <= sender.Membership.Version &&
		reply.Register.Promised.Round <= sender.HighestRound
}

// requestIsIrrelevant: a request of a round that is over changes nothing at a member that holds a higher promise on its
// disk and the membership that the request names, and its reply will be irrelevant. Where a disk may still be lost the
// promise may go, so the request stays. Digests and fetches change no state.
func (m *model) requestIsIrrelevant(w *world, sender *proposer, message *packet) bool {
	if isCurrent(sender, message) || !m.ignoresReplies(sender, message) {
		return false
	}
	request := message.Request
	receiver := m.members.get(w.members[m.machine(message.Member)])
	if request.Membership.Version > receiver.membership.Version {
		return false
	}
	switch request.Operation {
	case keystore.OperationDigest, keystore.OperationFetch:
		return true
	case keystore.OperationPrepare:
		return w.remaining.Wipes == 0 && !receiver.Durable[request.Key].Promised.Less(request.Proposal)
	case keystore.OperationAccept:
		return w.remaining.Wipes == 0 && request.Proposal.Less(receiver.Durable[request.Key].Promised)
	}
	return false
}

// ignoresReplies says that no reply to the request can change what its sender does: it has ended, or it becomes the owner
// of no key any more and the membership never changes.
func (m *model) ignoresReplies(sender *proposer, message *packet) bool {
	hasEnded := message.Incarnation != sender.Incarnation || sender.done()
	return hasEnded || sender.onLastAttempt() && !m.changesMembership
}
