package keystore

import (
	"context"
	"time"
)

type answered struct {
	address string
	reply   Reply
	err     error
}

func (s *Store) ask(ctx context.Context, message Message, enough func(map[string]Reply) bool) (map[string]Reply, Members) {
	members := s.Members()
	message.Sender, message.Members = s.self, members
	addresses := members.All()
	answers := make(chan answered, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, askBound)
	for _, address := range addresses {
		go func() {
			reply, err := s.transport.Send(bounded, address, message)
			answers <- answered{address, reply, err}
		}()
	}
	replies := map[string]Reply{}
	for range addresses {
		one := <-answers
		if one.err != nil {
			continue
		}
		s.Adopt(one.reply.Members)
		s.observe(one.reply.Slot.Promised)
		replies[one.address] = one.reply
		if enough(replies) {
			break
		}
	}
	if enough(replies) && message.Operation != OperationAccept && message.Operation != OperationPromise {
		cancel()
	} else {
		time.AfterFunc(askBound, cancel)
	}
	return replies, members
}

func (s *Store) observe(ballot Ballot) {
	for {
		seen := s.round.Load()
		if ballot.Round() <= seen || s.round.CompareAndSwap(seen, ballot.Round()) {
			return
		}
	}
}

func granted(members Members) func(map[string]Reply) bool {
	return func(replies map[string]Reply) bool {
		agreed := map[string]bool{}
		for address, reply := range replies {
			agreed[address] = reply.Granted
		}
		return members.Quorum(agreed)
	}
}
