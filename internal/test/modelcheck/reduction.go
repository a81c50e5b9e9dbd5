package modelcheck

import (
	"slices"

	"ferryspar/internal/keystore"
)

// dropIrrelevant removes packets that can no longer have an effect. Delivering such a packet would leave every member and
// proposer unchanged, now and in all successor worlds, so the worlds with and without it have the same futures except for
// that delivery.
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

// isCurrent reports whether the packet belongs to the round that its proposer is in.
func isCurrent(sender *proposer, message *packet) bool {
	return message.Incarnation == sender.Incarnation && message.Round == sender.Round && sender.Phase != phaseIdle
}

// replyIsIrrelevant reports whether a reply can have no effect. A reply to a former incarnation or to a finished proposer is
// ignored. A reply to a former round contributes only its proposal number and membership, and the highest ones that an
// incarnation has seen never decrease.
func (m *model) replyIsIrrelevant(sender *proposer, message *packet) bool {
	if message.Incarnation != sender.Incarnation || sender.done() {
		return true
	}
	return !isCurrent(sender, message) && hasNoNewInformation(sender, message.Reply)
}

func hasNoNewInformation(sender *proposer, reply *keystore.Reply) bool {
	return reply.Membership.Version <= sender.Membership.Version &&
		reply.Register.Promised.Round <= sender.HighestRound
}

// requestIsIrrelevant reports whether a request can have no effect. A request of a completed round changes nothing at a
// member that has a higher promise and the request's membership on its disk, and its reply will be irrelevant. While a disk
// may still be lost, the promise may be lost too, so the request stays. Digests and fetches change no state.
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

// ignoresReplies reports whether no reply to the request can change what its sender does: the sender has finished, or it is
// on its last attempt and the membership never changes.
func (m *model) ignoresReplies(sender *proposer, message *packet) bool {
	hasEnded := message.Incarnation != sender.Incarnation || sender.done()
	return hasEnded || sender.onLastAttempt() && !m.changesMembership
}
