package keystore

import (
	"context"
	"time"
)

const (
	// roundTimeout is how long a message waits for replies.
	roundTimeout = 900 * time.Millisecond
	// lingerTimeout is how long a round that could end waits for further replies.
	lingerTimeout = 120 * time.Millisecond
	// resendInterval is how long a member's reply is awaited before the message is sent to it once more: a message that the
	// network has lost or delays would otherwise hold up a round for all of roundTimeout.
	resendInterval = 250 * time.Millisecond
	// maxSends is how often a message is sent to one member within a round.
	maxSends = 3
	// maxResendBytes is the largest value of a message that is sent again: members that are slow with a large one would get
	// more of them the slower they are.
	maxResendBytes = 4 << 10
)

// Transport carries a message to a member and brings its reply back. A message may arrive twice or late; no step of an
// acceptor minds.
type Transport interface {
	Send(ctx context.Context, address string, message Message) (Reply, error)
}

type memberReply struct {
	address string
	reply   Reply
}

// round is one message to all members with the replies that came in while it lasted.
type round struct {
	replySet
	// lateReplies brings those that come after its end.
	lateReplies <-chan memberReply
}

// progress is what an assessment of the replies so far says about waiting for more.
type progress int

const (
	progressWait progress = iota
	// progressLinger: the round could end, and a few more replies may give a better result.
	progressLinger
	progressFinished
)

// assessFunc looks at the replies so far.
type assessFunc func(replies *replySet) progress

// queryQuorum sends a message to all members and waits until a quorum agrees or none can any more.
func (s *Store) queryQuorum(ctx context.Context, message Message, agrees VoteFunc) (*round, bool) {
	return s.queryQuorumWith(ctx, message, func(*replySet) VoteFunc { return agrees })
}

// queryQuorumWith is queryQuorum where a reply is judged by what the others of its round tell.
func (s *Store) queryQuorumWith(
	ctx context.Context, message Message, agrees func(replies *replySet) VoteFunc,
) (*round, bool) {
	membership := s.Membership()
	return s.queryElectorate(ctx, membership, membership, message, agrees)
}

// queryElectorate is queryQuorumWith under a given membership, where the votes of the electorate are counted.
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

// query sends a message to all members and collects replies until assess has seen enough.
func (s *Store) query(ctx context.Context, message Message, assess assessFunc) *round {
	membership := s.Membership()
	message.Membership = membership
	return s.queryMembers(ctx, membership, message, assess)
}

// queryMembers sends a message to the members of a membership, whether or not that one is in force. Prepare and accept
// messages go on to the members that have not replied at the end: the more of them a write reaches the better. Each
// sender ends with its context, within roundTimeout.
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

// collect takes replies until all are there, assess says that they are enough, or the time to linger is over.
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

// sendRepeatedly sends a message again each resendInterval, until the first reply comes in or the round is decided, and returns
// that reply. Steps of an acceptor are idempotent. Once a round is decided nothing more is sent: members that reply slowly are
// not asked more the less they keep up.
//
// Messages about leases are sent once: who wants a lease makes further attempts by itself. So are those with a large value.
//
// A message that fails ends it too: a member that cannot be reached would otherwise hold up the round until the last message to it
// has failed as well.
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

// mayBeResent says whether a message without a reply is worth another one.
func (m Message) mayBeResent() bool { return !isLease(m.Key) && len(m.Value) <= maxResendBytes }

// send returns a member's reply, and learns the membership and the proposal number in it.
func (s *Store) send(ctx context.Context, address string, message Message) Reply {
	reply, err := s.transport.Send(ctx, address, message)
	if err != nil {
		reply = Reply{Rejection: RejectedUnreachable}
	}
	s.AdoptMembership(reply.Membership)
	s.observeProposalNumber(reply.Register.Promised)
	return reply
}
