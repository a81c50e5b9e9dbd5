package coordinator

import (
	"context"
	"time"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

// A lock's owner knows until when the last hold lasts, and stores only how long holds are. Who takes a lock over therefore waits for
// one more hold, unless the former owner can be asked: without that, a lock whose holder has died stays taken for a hold after
// each change of its owner.

// handoverTimeout is how long the former owner may take to answer.
const handoverTimeout = 300 * time.Millisecond

// handoverQuestion is a question that waits for the goroutine that carries out the item's batches: only between two batches is it
// certain what this node has granted.
type handoverQuestion struct {
	ownership keystore.ProposalNumber
	reply     chan peer.HandoverReply
}

// receivedHandover is the answer of a former owner.
type receivedHandover struct {
	// ownership is that of this node under which the answer was asked for.
	ownership  keystore.ProposalNumber
	handover   coordination.Handover
	receivedAt time.Time
}

// HandleHandover answers the next owner of a lock.
func (r *Router) HandleHandover(ctx context.Context, request peer.HandoverRequest) peer.HandoverReply {
	return r.executor.handOver(ctx, request)
}

// askFormerOwner asks the former owner of a lock what it knows.
func (r *Router) askFormerOwner(ctx context.Context, request peer.HandoverRequest) (coordination.Handover, bool) {
	address := request.Ownership.Proposer
	if address == "" {
		return coordination.Handover{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var reply peer.HandoverReply
	if r.caller.Call(bounded, peer.MethodHandOver, address, request, &reply) != nil {
		return coordination.Handover{}, false
	}
	return reply.Handover, reply.Known
}

// handOver says what this node granted last under an ownership of an item.
func (e *Executor) handOver(ctx context.Context, request peer.HandoverRequest) peer.HandoverReply {
	e.lock.Lock()
	item := e.items[request.Key]
	e.lock.Unlock()
	if item == nil {
		return peer.HandoverReply{}
	}
	question := handoverQuestion{ownership: request.Ownership, reply: make(chan peer.HandoverReply, 1)}
	item.lock.Lock()
	item.questions = append(item.questions, question)
	e.startBatches(item)
	item.lock.Unlock()
	select {
	case reply := <-question.reply:
		return reply
	case <-ctx.Done():
		return peer.HandoverReply{}
	}
}

// answerQuestions answers those that wait. The goroutine that carries out the item's batches calls it.
func (e *Executor) answerQuestions(item *ownedItem, questions []handoverQuestion) {
	if len(questions) == 0 {
		return
	}
	if item.state != nil {
		item.adoptHandover(item.register)
		item.memory = item.state.VolatileState()
	}
	now := e.clock()
	for _, question := range questions {
		var reply peer.HandoverReply
		if item.register.Promised == question.ownership {
			reply.Handover, reply.Known = item.memory.Handover(now)
		}
		question.reply <- reply
	}
}

// requestHandover asks the former owner of a lock that was just taken over, and keeps the answer for the next batch.
func (e *Executor) requestHandover(item *ownedItem) {
	lock, isLock := item.state.(*coordination.Lock)
	if !isLock || !lock.NeedsHandover() || e.askFormerOwner == nil || item.askedUnder == item.register.Promised {
		return
	}
	item.askedUnder = item.register.Promised
	request := peer.HandoverRequest{Key: item.key, Ownership: item.adoptedFrom}
	ownership := item.register.Promised
	go func() {
		handover, known := e.askFormerOwner(context.Background(), request)
		if !known {
			return
		}
		item.lock.Lock()
		defer item.lock.Unlock()
		item.handover = &receivedHandover{ownership: ownership, handover: handover, receivedAt: e.clock()}
	}()
}

// adoptHandover takes over the answer of the former owner if this node still has the ownership under which it asked.
func (i *ownedItem) adoptHandover(current keystore.Register) {
	i.lock.Lock()
	received := i.handover
	i.handover = nil
	i.lock.Unlock()
	lock, isLock := i.state.(*coordination.Lock)
	if isLock && received != nil && received.ownership == current.Promised {
		lock.AdoptHandover(received.handover, received.receivedAt)
	}
}
