package coordinator

import (
	"context"
	"time"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

// The owner of a lock keeps the expiry of the current hold in memory and stores only its duration. A node that takes over a lock
// must therefore wait for one more hold duration, unless it can ask the previous owner. Without that query, a lock whose holder
// has crashed would stay held for another hold duration after each change of owner.

// handoverTimeout is how long the previous owner may take to answer.
const handoverTimeout = 300 * time.Millisecond

// handoverQuery is a query that waits for the goroutine that runs the item's batches. Only between two batches is it certain what
// this node has granted.
type handoverQuery struct {
	ownership keystore.ProposalNumber
	reply     chan peer.HandoverReply
}

// receivedHandover is the answer of a previous owner.
type receivedHandover struct {
	// ownership is this node's ownership under which the query was sent.
	ownership  keystore.ProposalNumber
	handover   coordination.Handover
	receivedAt time.Time
}

// HandleHandover answers the handover query of a lock's next owner.
func (r *Router) HandleHandover(ctx context.Context, request peer.HandoverRequest) peer.HandoverReply {
	return r.executor.answerHandover(ctx, request)
}

// queryPreviousOwner sends a handover query to the previous owner of a lock. It returns false if that node is unknown, does not
// answer, or no longer knows.
func (r *Router) queryPreviousOwner(ctx context.Context, request peer.HandoverRequest) (coordination.Handover, bool) {
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

// answerHandover returns what this node last granted under the given ownership of an item.
func (e *Executor) answerHandover(ctx context.Context, request peer.HandoverRequest) peer.HandoverReply {
	e.lock.Lock()
	item := e.items[request.Key]
	e.lock.Unlock()
	if item == nil {
		return peer.HandoverReply{}
	}
	query := handoverQuery{ownership: request.Ownership, reply: make(chan peer.HandoverReply, 1)}
	item.lock.Lock()
	item.queries = append(item.queries, query)
	e.startBatches(item)
	item.lock.Unlock()
	select {
	case reply := <-query.reply:
		return reply
	case <-ctx.Done():
		return peer.HandoverReply{}
	}
}

// answerHandoverQueries answers pending handover queries. It is called by the goroutine that runs the item's batches.
func (e *Executor) answerHandoverQueries(item *ownedItem, queries []handoverQuery) {
	if len(queries) == 0 {
		return
	}
	if item.state != nil {
		item.adoptHandover(item.register)
		item.memory = item.state.VolatileState()
	}
	now := e.clock()
	for _, query := range queries {
		var reply peer.HandoverReply
		if item.register.Promised == query.ownership {
			reply.Handover, reply.Known = item.memory.Handover(now)
		}
		query.reply <- reply
	}
}

// requestHandover queries the previous owner of a lock that was just taken over, and keeps the answer for the next batch. It does
// so once per ownership.
func (e *Executor) requestHandover(item *ownedItem) {
	lock, isLock := item.state.(*coordination.Lock)
	if !isLock || !lock.NeedsHandover() || e.queryPreviousOwner == nil || item.queriedUnder == item.register.Promised {
		return
	}
	item.queriedUnder = item.register.Promised
	request := peer.HandoverRequest{Key: item.key, Ownership: item.adoptedFrom}
	ownership := item.register.Promised
	go func() {
		handover, known := e.queryPreviousOwner(context.Background(), request)
		if !known {
			return
		}
		item.lock.Lock()
		defer item.lock.Unlock()
		item.handover = &receivedHandover{ownership: ownership, handover: handover, receivedAt: e.clock()}
	}()
}

// adoptHandover applies the previous owner's answer if this node still has the ownership under which it sent the query.
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
