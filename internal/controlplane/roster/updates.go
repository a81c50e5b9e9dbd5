package roster

import (
	"context"
	"strconv"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// resendInterval is the pause before an update that was requested while another one was being sent.
const resendInterval = 40 * time.Millisecond

// ratesInterval is the shortest interval between two periodic updates that carry the demand rates. They need not be sent more often,
// since they are averages over seconds and minutes.
const ratesInterval = 1500 * time.Millisecond

// UpdateReply is the reply to an update; Adopted is set if the receiver now holds the update's list. If that list
// is stale and the receiver holds a newer one, Replicas is the newer one, and AgeMs its age.
type UpdateReply struct {
	Adopted  bool                `json:"has"`
	Replicas []discovery.Replica `json:"replicas,omitempty"`
	AgeMs    int64               `json:"ageMs,omitempty"`
	// Pages is the number of pages of the platform's list that Replicas were read from, 0 if that is not known.
	Pages int `json:"pages,omitempty"`
}

// updateContent is what an update carries besides the list.
type updateContent int

const (
	listOnly updateContent = iota
	// withRates: also the demand rates, from which the next lease holder starts.
	withRates
)

// RequestSend schedules an update to the other nodes if this node holds the lease.
func (r *Roster) RequestSend() {
	select {
	case r.sendRequested <- struct{}{}:
	default:
	}
}

// runRequestedSends sends the list whenever RequestSend was called, until ctx ends.
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

// sendAll starts sending the list to each other node to which no update is being sent.
func (r *Roster) sendAll(ctx context.Context, content updateContent) {
	for _, address := range r.cluster.OtherControlPlanes() {
		if r.deliveries.begin(address) {
			r.sends.Go(func() { r.send(ctx, address, content) })
		}
	}
}

// send sends the list to one node, and resends it as long as further updates were requested meanwhile.
func (r *Roster) send(ctx context.Context, address string, content updateContent) {
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

// nextUpdate composes an update for a node, as a difference if it is known which list the node holds. It
// returns false if this node has no lease.
func (r *Roster) nextUpdate(address string, content updateContent) (peer.RosterUpdate, *sentList, bool) {
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

// sendUpdate sends an update and reports whether the node acknowledged its list.
func (r *Roster) sendUpdate(ctx context.Context, address string, update peer.RosterUpdate) bool {
	var reply UpdateReply
	sentAt := r.config.Clock()
	if r.cluster.Call(ctx, peer.MethodShareRoster, address, update, &reply) != nil {
		return false
	}
	r.adoptIfNewer(reply, sentAt)
	return reply.Adopted
}

// adoptIfNewer adopts the newer list in a reply, if there is one: this node failed to read the platform's
// list itself. The reply's age may date from as early as the update was sent.
func (r *Roster) adoptIfNewer(reply UpdateReply, sentAt time.Time) {
	if len(reply.Replicas) > 0 {
		r.Adopt(reply.Replicas, reply.Pages, sentAt.Add(-time.Duration(reply.AgeMs)*time.Millisecond))
	}
}

// HandleUpdate applies the lease holder's update. A difference to a list other than the current one is not
// adopted, and the sender sends the whole list next, as it gets no acknowledgement. An update that was
// overtaken by a newer one, or comes from a previous lease holder, is ignored. If an update's list is older
// than the current one, only its cordons are applied.
func (r *Roster) HandleUpdate(_ context.Context, update peer.RosterUpdate) UpdateReply {
	if !r.list.recordSequence(update.Fence, update.Sequence) {
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
