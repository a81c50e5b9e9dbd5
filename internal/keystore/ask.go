package keystore

import (
	"context"
	"time"
)

// roundTimeout is how long a question waits for answers.
const roundTimeout = 900 * time.Millisecond

type memberReply struct {
	address string
	reply   Reply
}

// round is one question to all members with the replies so far. Replies that come after the
// question was settled wait in late.
type round struct {
	members     Membership
	replies     map[string]Reply
	lateReplies <-chan memberReply
}

type voteFunc func(address string, reply Reply) bool

// tally counts replies: whether a quorum agrees, and whether one still may.
func (r *round) countVotes(agrees voteFunc) (agreed, possible bool) {
	agreeing, undecided := map[string]bool{}, map[string]bool{}
	for _, address := range r.members.All() {
		reply, known := r.replies[address]
		agreeing[address] = known && agrees(address, reply)
		undecided[address] = !known || agreeing[address]
	}
	return r.members.HasQuorum(agreeing), r.members.HasQuorum(undecided)
}

// progress is what a look at the replies so far says about waiting for more.
type progress int

const (
	progressWait progress = iota
	// progressLinger: the question is answered, a little more patience may answer it better.
	progressLinger
	progressFinished
)

// lingerTimeout is how long a question that is answered waits for further replies.
const lingerTimeout = 120 * time.Millisecond

// ask puts a question to all members until a quorum agrees or none can any more.
func (s *Store) queryQuorum(ctx context.Context, message Message, agrees voteFunc) (*round, bool) {
	return s.queryQuorumWith(ctx, message, func(*round) voteFunc { return agrees })
}

// queryQuorumWith is ask where a reply is judged by what the others of its round tell.
func (s *Store) queryQuorumWith(ctx context.Context, message Message, agrees func(r *round) voteFunc) (*round, bool) {
	result := s.query(ctx, message, func(r *round) progress {
		agreed, possible := r.countVotes(agrees(r))
		if agreed || !possible {
			return progressFinished
		}
		return progressWait
	})
	agreed, _ := result.countVotes(agrees(result))
	return result, agreed
}

// gather puts a question to all members and collects replies until look has seen enough.
// CountsPromise and writes go on to the members that have not answered yet.
func (s *Store) query(ctx context.Context, message Message, assess func(r *round) progress) *round {
	membership := s.Membership()
	message.Membership = membership
	return s.queryMembers(ctx, membership, message, assess)
}

// queryMembers puts a question to the members of a list, whether or not that list is in force.
func (s *Store) queryMembers(ctx context.Context, membership Membership, message Message, assess func(r *round) progress) *round {
	result := &round{members: membership, replies: map[string]Reply{}}
	message.Sender = s.self
	if ctx.Err() != nil {
		return result
	}
	addresses := result.members.All()
	replies := make(chan memberReply, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, roundTimeout)
	for _, address := range addresses {
		go func() { replies <- memberReply{address, s.send(bounded, address, message)} }()
	}
	result.collect(replies, len(addresses), assess)
	result.lateReplies = replies
	if message.Operation == OperationAccept || message.Operation == OperationPrepare {
		time.AfterFunc(roundTimeout, cancel)
	} else {
		cancel()
	}
	return result
}

func (r *round) collect(replies <-chan memberReply, amount int, assess func(r *round) progress) {
	var lingering <-chan time.Time
	for range amount {
		select {
		case received := <-replies:
			r.replies[received.address] = received.reply
		case <-lingering:
			return
		}
		switch assess(r) {
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

func (s *Store) send(ctx context.Context, address string, message Message) Reply {
	reply, err := s.transport.Send(ctx, address, message)
	if err != nil {
		reply = Reply{Rejection: RejectedUnreachable}
	}
	s.AdoptMembership(reply.Membership)
	s.observeProposalNumber(reply.Register.Promised)
	return reply
}
