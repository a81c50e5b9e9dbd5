package keystore

import (
	"context"
	"time"
)

const (
	// roundTimeout limits the time for which a message waits for replies.
	roundTimeout = 900 * time.Millisecond
	// lingerTimeout limits the time for which a round that could end waits for further replies.
	lingerTimeout = 120 * time.Millisecond
	// resendInterval is the time after which a message without a reply is sent again to the same member. Otherwise a
	// message that the network has lost or delayed would hold up a round for the whole roundTimeout.
	resendInterval = 250 * time.Millisecond
	// maxSends is the number of times that a message is sent to one member within a round.
	maxSends = 3
	// maxResendBytes is the largest value of a message that is sent again. Resending larger ones would add the most
	// load to the members that are slowest to process them.
	maxResendBytes = 4 << 10
)

// Transport sends a message to a member and returns its reply. A message may be delivered late or twice, since all
// steps of an acceptor are idempotent.
type Transport interface {
	Send(ctx context.Context, address string, message Message) (Reply, error)
}

type memberReply struct {
	address string
	reply   Reply
}

// round is one message to all members, with the replies received before it ended.
type round struct {
	replySet
	// lateReplies receives the replies that arrive after its end.
	lateReplies <-chan memberReply
}

// progress is whether a round has to wait for more replies.
type progress int

const (
	progressWait progress = iota
	// progressLinger means that the round could end, but a few more replies may improve the result.
	progressLinger
	progressFinished
)

// assessFunc decides on the progress of a round from the replies so far.
type assessFunc func(replies *replySet) progress

// queryQuorum sends a message to all members and waits until a quorum agrees or none can any more.
func (s *Store) queryQuorum(ctx context.Context, message Message, agrees VoteFunc) (*round, bool) {
	return s.queryQuorumWith(ctx, message, func(*replySet) VoteFunc { return agrees })
}

// queryQuorumWith is queryQuorum where the vote of a reply may depend on the other replies of the round.
func (s *Store) queryQuorumWith(
	ctx context.Context, message Message, agrees func(replies *replySet) VoteFunc,
) (*round, bool) {
	membership := s.Membership()
	return s.queryElectorate(ctx, membership, membership, message, agrees)
}

// queryElectorate is queryQuorumWith for a message sent under the given membership, whose votes are counted among the
// electorate.
func (s *Store) queryElectorate(
	ctx context.Context, membership, electorate Membership, message Message, agrees func(replies *replySet) VoteFunc,
) (*round, bool) {
	message.Membership = membership
	result := s.queryMembers(ctx, electorate, message, func(replies *replySet) progress {
		agreed, possible := replies.countVotes(agrees(replies))
		if agreed || !possible {
			return progressFinished
		}
		return progressWait
	})
	agreed, _ := result.countVotes(agrees(&result.replySet))
	return result, agreed
}

// query sends a message to all members and collects replies until assess ends the round.
func (s *Store) query(ctx context.Context, message Message, assess assessFunc) *round {
	membership := s.Membership()
	message.Membership = membership
	return s.queryMembers(ctx, membership, message, assess)
}

// queryMembers sends a message to the members of a membership, whether or not that membership is in force. Prepare and
// accept messages that are still in flight when the round ends are not cancelled, since a write should reach as many
// members as possible. Each sender ends with its context, within roundTimeout.
func (s *Store) queryMembers(ctx context.Context, membership Membership, message Message, assess assessFunc) *round {
	result := &round{replySet: replySet{membership: membership, replies: map[string]Reply{}}}
	message.Sender = s.self
	if ctx.Err() != nil {
		return result
	}
	addresses := membership.All()
	replies := make(chan memberReply, len(addresses))
	roundContext, cancel := context.WithTimeout(ctx, roundTimeout)
	decided := make(chan struct{})
	for _, address := range addresses {
		go func() {
			replies <- memberReply{address: address, reply: s.sendRepeatedly(roundContext, decided, address, message)}
		}()
	}
	result.collect(replies, len(addresses), assess)
	close(decided)
	result.lateReplies = replies
	if message.Operation == OperationAccept || message.Operation == OperationPrepare {
		time.AfterFunc(roundTimeout, cancel)
	} else {
		cancel()
	}
	return result
}

// collect receives replies until all have arrived, assess ends the round, or lingerTimeout expires.
func (r *round) collect(replies <-chan memberReply, amount int, assess assessFunc) {
	var lingering <-chan time.Time
	for range amount {
		select {
		case received := <-replies:
			r.replies[received.address] = received.reply
		case <-lingering:
			return
		}
		switch assess(&r.replySet) {
		case progressFinished:
			return
		case progressLinger:
			if lingering == nil {
				timer := time.NewTimer(lingerTimeout)
				defer timer.Stop()
				lingering = timer.C
			}
		}
	}
}

// sendRepeatedly sends a message, resends it at each resendInterval until the first reply arrives or the round is
// decided, and returns that reply. Steps of an acceptor are idempotent. Once the round is decided nothing is resent, so
// that members that can't keep up are not given more load.
//
// Messages about leases are sent once, since a process that wants a lease retries by itself, and so are messages with a
// large value.
//
// A send that fails ends the call as well. Otherwise a member that can't be reached would hold up the round until the
// last resend has failed too.
func (s *Store) sendRepeatedly(ctx context.Context, decided <-chan struct{}, address string, message Message) Reply {
	received := make(chan Reply, maxSends)
	sendOnce := func() { received <- s.send(ctx, address, message) }
	go sendOnce()
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for sent := 1; ; {
		select {
		case reply := <-received:
			return reply
		case <-ticker.C:
			if sent < maxSends && message.mayBeResent() {
				go sendOnce()
				sent++
			}
		case <-decided:
			ticker.Stop()
			decided = nil
		}
	}
}

// mayBeResent reports whether a message without a reply may be sent again.
func (m Message) mayBeResent() bool { return !isLease(m.Key) && len(m.Value) <= maxResendBytes }

// send returns a member's reply, and adopts the membership and the proposal number in it.
func (s *Store) send(ctx context.Context, address string, message Message) Reply {
	reply, err := s.transport.Send(ctx, address, message)
	if err != nil {
		reply = Reply{Rejection: RejectedUnreachable}
	}
	s.AdoptMembership(reply.Membership)
	s.observeProposalNumber(reply.Register.Promised)
	return reply
}
