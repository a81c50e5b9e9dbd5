package roster

import (
	"context"
	"strconv"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// resendInterval is the wait before an update that was asked for while one was being sent.
const resendInterval = 40 * time.Millisecond

// ratesInterval is how long after the last periodic update with the rates of demand the next one carries them: they are averages
// over seconds and minutes.
const ratesInterval = 1500 * time.Millisecond

// UpdateReply says whether the receiver of an update now holds its list. Where that list is stale and the
// receiver holds a newer one, Replicas is that one, as old as AgeMs.
type UpdateReply struct {
	Adopted  bool                `json:"has"`
	Replicas []discovery.Replica `json:"replicas,omitempty"`
	AgeMs    int64               `json:"ageMs,omitempty"`
	// Pages is how many pages the platform's list had that Replicas were read from, 0 if that is not known.
	Pages int `json:"pages,omitempty"`
}

// content is what an update carries beside the list.
type content int

const (
	listOnly content = iota
	// withRates: the rates of demand as well, which a successor starts from.
	withRates
)

// RequestSend has the list sent to the other nodes soon, if this node holds the lease.
func (r *Roster) RequestSend() {
	select {
	case r.sendRequested <- struct{}{}:
	default:
	}
}

// runRequestedSends sends the list whenever that was requested, until ctx ends.
func (r *Roster) runRequestedSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.sendRequested:
		}
		if r.placement.HoldsLease() {
			r.sendAll(ctx, listOnly)
		}
	}
}

// sendAll starts sending the list to each node that it isn't being sent to.
func (r *Roster) sendAll(ctx context.Context, content content) {
	for _, address := range r.cluster.OtherControlPlanes() {
		if r.deliveries.begin(address) {
			r.sends.Go(func() { r.send(ctx, address, content) })
		}
	}
}

// send sends the list to one node, and again for as long as further updates were asked for meanwhile.
func (r *Roster) send(ctx context.Context, address string, content content) {
	for resend := true; resend && ctx.Err() == nil; content = listOnly {
		update, sent, ok := r.nextUpdate(address, content)
		if !ok {
			r.deliveries.end(address, nil)
			return
		}
		if !r.sendUpdate(ctx, address, update) {
			sent = nil
		}
		resend = r.deliveries.end(address, sent)
		if resend {
			nodesettings.Sleep(ctx, resendInterval)
		}
	}
}

// nextUpdate composes an update of a node, as a difference where it is known which list the node holds.
// It fails if this node has no lease.
func (r *Roster) nextUpdate(address string, content content) (peer.RosterUpdate, *sentList, bool) {
	fence, hasLease := r.placement.Fence()
	if !hasLease {
		return peer.RosterUpdate{}, nil, false
	}
	replicas, cordoned, asOf := r.publisher.PublishedRoster()
	sequence := r.sequence.Add(1)
	update := peer.RosterUpdate{
		Member:   r.config.Self,
		Fence:    fence,
		Sequence: sequence,
		AgeMs:    r.config.Clock().Sub(asOf).Milliseconds(),
		Replicas: replicas,
		Pages:    r.list.pageCount(),
		Cordoned: cordoned,
		Version:  r.config.Incarnation + "/" + strconv.FormatUint(sequence, 10),
	}
	if content == withRates {
		update.Rates = r.placement.DemandRates()
	}
	if base := r.deliveries.acknowledgedBy(address); base != nil {
		update.BaseVersion = base.version
		update.Replicas, update.Removed = diff(base.replicas, replicas)
	}
	return update, &sentList{version: update.Version, replicas: replicas}, true
}

// sendUpdate sends an update and returns whether the node acknowledged its list.
func (r *Roster) sendUpdate(ctx context.Context, address string, update peer.RosterUpdate) bool {
	var reply UpdateReply
	sentAt := r.config.Clock()
	if r.cluster.Call(ctx, peer.MethodShareRoster, address, update, &reply) != nil {
		return false
	}
	r.adoptNewer(reply, sentAt)
	return reply.Adopted
}

// adoptNewer adopts the list of a node that holds a newer one: this node can't read the platform's list
// itself. The reply may have been made as early as the update was sent.
func (r *Roster) adoptNewer(reply UpdateReply, sentAt time.Time) {
	if len(reply.Replicas) > 0 {
		r.Adopt(reply.Replicas, reply.Pages, sentAt.Add(-time.Duration(reply.AgeMs)*time.Millisecond))
	}
}

// HandleUpdate adopts the lease holder's list. A difference to another list than the present one is not
// adopted, and the reply says so. An update that a newer one has overtaken, or that comes from a lease
// holder that another one has followed, is ignored. Of an update with an older list than the present
// one, only what it cordons counts.
func (r *Roster) HandleUpdate(_ context.Context, update peer.RosterUpdate) UpdateReply {
	if !r.list.advance(update.Fence, update.Sequence) {
		return UpdateReply{}
	}
	r.placement.AdoptUpdate(update)
	now := r.config.Clock()
	result := r.list.adopt(update, now.Add(-time.Duration(update.AgeMs)*time.Millisecond), now)
	if result == baseMismatch {
		return UpdateReply{}
	}
	r.Publish()
	if result == adopted {
		r.placement.RecordListed(update.Replicas)
		return UpdateReply{Adopted: true}
	}
	if update.AgeMs <= recentAge(r.config.CallsPerSecond, update.Pages).Milliseconds() {
		return UpdateReply{}
	}
	replicas, asOf := r.list.current()
	return UpdateReply{Replicas: replicas, AgeMs: now.Sub(asOf).Milliseconds(), Pages: r.list.pageCount()}
}
