package keystore

import (
	"context"
	"time"
)

type answered struct {
	address string
	reply   Reply
}

type judge func(address string, reply Reply) bool

func byGrant(_ string, reply Reply) bool { return reply.Granted }

type verdict struct {
	members Members
	replies map[string]Reply
	agreed  bool
}

const unreached = "not reached"

func (s *Store) ask(ctx context.Context, message Message, agrees judge) verdict {
	return s.askUntil(ctx, message, func(v *verdict) bool {
		agreed, possible := map[string]bool{}, map[string]bool{}
		for _, address := range v.members.All() {
			reply, known := v.replies[address]
			agreed[address] = known && agrees(address, reply)
			possible[address] = !known || agreed[address]
		}
		v.agreed = v.members.Quorum(agreed)
		return v.agreed || !v.members.Quorum(possible)
	})
}

func (s *Store) askUntil(ctx context.Context, message Message, done func(v *verdict) bool) verdict {
	v := verdict{members: s.Members(), replies: map[string]Reply{}}
	message.Sender, message.Members = s.self, v.members
	if ctx.Err() != nil {
		return v
	}
	addresses := v.members.All()
	answers := make(chan answered, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, askBound)
	for _, address := range addresses {
		go func() {
			reply, err := s.transport.Send(bounded, address, message)
			if err != nil {
				reply = Reply{Reason: unreached}
			}
			s.Adopt(reply.Members)
			s.observe(reply.Slot.Promised)
			answers <- answered{address, reply}
		}()
	}
	for range addresses {
		one := <-answers
		v.replies[one.address] = one.reply
		if done(&v) {
			break
		}
	}
	if message.Operation == OperationAccept || message.Operation == OperationPromise {
		time.AfterFunc(askBound, cancel)
	} else {
		cancel()
	}
	return v
}

func (s *Store) observe(ballot Ballot) {
	for {
		seen := s.round.Load()
		if ballot.Round() <= seen || s.round.CompareAndSwap(seen, ballot.Round()) {
			return
		}
	}
}
