package keystore

import (
	"context"
	"time"
)

// askBound is how long a question waits for answers.
const askBound = 900 * time.Millisecond

type answered struct {
	address string
	reply   Reply
}

// round is one question to all members with the replies so far. Replies that come after the
// question was settled wait in late.
type round struct {
	members Members
	replies map[string]Reply
	late    <-chan answered
}

type judge func(address string, reply Reply) bool

// tally counts replies: whether a quorum agrees, and whether one still may.
func (r *round) tally(agrees judge) (agreed, possible bool) {
	yes, maybe := map[string]bool{}, map[string]bool{}
	for _, address := range r.members.All() {
		reply, known := r.replies[address]
		yes[address] = known && agrees(address, reply)
		maybe[address] = !known || yes[address]
	}
	return r.members.Quorum(yes), r.members.Quorum(maybe)
}

// progress is what a look at the replies so far says about waiting for more.
type progress int

const (
	wait progress = iota
	// linger: the question is answered, a little more patience may answer it better.
	linger
	finished
)

// lingerBound is how long a question that is answered waits for further replies.
const lingerBound = 120 * time.Millisecond

// ask puts a question to all members until a quorum agrees or none can any more.
func (s *Store) ask(ctx context.Context, message Message, agrees judge) (*round, bool) {
	return s.askRound(ctx, message, func(*round) judge { return agrees })
}

// askRound is ask where a reply is judged by what the others of its round tell.
func (s *Store) askRound(ctx context.Context, message Message, agrees func(r *round) judge) (*round, bool) {
	asked := s.gather(ctx, message, func(r *round) progress {
		agreed, possible := r.tally(agrees(r))
		if agreed || !possible {
			return finished
		}
		return wait
	})
	agreed, _ := asked.tally(agrees(asked))
	return asked, agreed
}

// gather puts a question to all members and collects replies until look has seen enough.
// Promises and writes go on to the members that have not answered yet.
func (s *Store) gather(ctx context.Context, message Message, look func(r *round) progress) *round {
	members := s.Members()
	message.Members = members
	return s.gatherFrom(ctx, members, message, look)
}

// gatherFrom puts a question to the members of a list, whether or not that list is in force.
func (s *Store) gatherFrom(ctx context.Context, members Members, message Message, look func(r *round) progress) *round {
	asked := &round{members: members, replies: map[string]Reply{}}
	message.Sender = s.self
	if ctx.Err() != nil {
		return asked
	}
	addresses := asked.members.All()
	answers := make(chan answered, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, askBound)
	for _, address := range addresses {
		go func() { answers <- answered{address, s.send(bounded, address, message)} }()
	}
	asked.collect(answers, len(addresses), look)
	asked.late = answers
	if message.Operation == OperationAccept || message.Operation == OperationPromise {
		time.AfterFunc(askBound, cancel)
	} else {
		cancel()
	}
	return asked
}

func (r *round) collect(answers <-chan answered, amount int, look func(r *round) progress) {
	var patience <-chan time.Time
	for range amount {
		select {
		case one := <-answers:
			r.replies[one.address] = one.reply
		case <-patience:
			return
		}
		switch look(r) {
		case finished:
			return
		case linger:
			if patience == nil {
				timer := time.NewTimer(lingerBound)
				defer timer.Stop()
				patience = timer.C
			}
		}
	}
}

func (s *Store) send(ctx context.Context, address string, message Message) Reply {
	reply, err := s.transport.Send(ctx, address, message)
	if err != nil {
		reply = Reply{Refusal: RefusedUnreached}
	}
	s.Adopt(reply.Members)
	s.observe(reply.Slot.Promised)
	return reply
}
