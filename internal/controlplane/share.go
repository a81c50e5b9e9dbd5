package controlplane

import (
	"context"
	"sort"
	"strconv"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// sentRoster is what a control plane has last been told of the roster, under a stamp.
type sentRoster struct {
	version  string
	replicas []discovery.Replica
}

// resendInterval is the wait before a share that was asked for meanwhile.
const resendInterval = 40 * time.Millisecond

// rosterAck says whether the receiver now has the roster of the share. Where that is old and the
// receiver holds a newer list, Replicas is that one, as old as AgeMs.
type rosterAck struct {
	Adopted  bool                `json:"has"`
	Replicas []discovery.Replica `json:"replicas,omitempty"`
	AgeMs    int64               `json:"ageMs,omitempty"`
}

// rosterDiff is what changed from base to next, and the ids that are gone.
func rosterDiff(base, next []discovery.Replica) (changed []discovery.Replica, removed []string) {
	previous := map[string]discovery.Replica{}
	for _, replica := range base {
		previous[replica.ID] = replica
	}
	for _, replica := range next {
		if before, known := previous[replica.ID]; !known || !sameEntry(before, replica) {
			changed = append(changed, replica)
		}
		delete(previous, replica.ID)
	}
	for id := range previous {
		removed = append(removed, id)
	}
	sort.Strings(removed)
	return changed, removed
}

// sameEntry tells whether two entries are the same in every respect.
func sameEntry(left, right discovery.Replica) bool {
	if (left.TimeLeftMs == nil) != (right.TimeLeftMs == nil) {
		return false
	}
	if left.TimeLeftMs != nil && *left.TimeLeftMs != *right.TimeLeftMs {
		return false
	}
	return discovery.SameReplica(left, right) && left.WarmUpRemainingMs == right.WarmUpRemainingMs && discovery.SameModels(left.Models, right.Models)
}

// applyRosterDiff applies a difference to a base, ordered by id.
func applyRosterDiff(base, changed []discovery.Replica, removed []string) []discovery.Replica {
	merged := map[string]discovery.Replica{}
	for _, replica := range append(append([]discovery.Replica{}, base...), changed...) {
		merged[replica.ID] = replica
	}
	for _, id := range removed {
		delete(merged, id)
	}
	result := make([]discovery.Replica, 0, len(merged))
	for _, replica := range merged {
		result = append(result, replica)
	}
	sort.Slice(result, func(left, right int) bool { return result[left].ID < result[right].ID })
	return result
}

// sendRoster sends the holder's roster to the other control planes; periodic shares carry rates
// too.
func (n *Node) sendRoster(ctx context.Context, periodic bool) {
	for _, address := range n.members.Others() {
		if n.roster.beginSend(address) {
			go n.sendRosterTo(ctx, address, periodic)
		}
	}
}

// sendRosterTo sends the roster to one control plane, as a difference if it is known what it has, and
// once more if it was to be shared again meanwhile.
func (n *Node) sendRosterTo(ctx context.Context, address string, periodic bool) {
	for resend := true; resend && ctx.Err() == nil; periodic = false {
		grant := n.scheduler.Lease().Grant()
		if grant == nil {
			n.roster.endSend(address, sentRoster{}, false)
			return
		}
		snapshot := n.publisher.Current()
		sequence := n.rosterUpdates.Add(1)
		update := peer.RosterUpdate{
			Member:   n.self,
			Fence:    grant.Record.Fence,
			Sequence: sequence,
			AgeMs:    n.clock().Sub(snapshot.RosterAsOf).Milliseconds(),
			Replicas: snapshot.Replicas,
			Cordoned: snapshot.Cordoned,
			Version:  n.incarnation + "/" + strconv.FormatUint(sequence, 10),
		}
		if periodic {
			update.Rates = n.scheduler.Demand().SharedRates()
		}
		if sent, known := n.roster.acknowledgedBy(address); known {
			update.BaseVersion = sent.version
			update.Replicas, update.Removed = rosterDiff(sent.replicas, snapshot.Replicas)
		}
		var reply rosterAck
		sentAt := n.clock()
		err := n.peers.Call(ctx, peer.MethodShareRoster, address, update, &reply)
		if err == nil {
			n.adoptNewerRoster(reply, sentAt)
		}
		resend = n.roster.endSend(address, sentRoster{update.Version, snapshot.Replicas}, err == nil && reply.Adopted)
		if resend {
			nodesettings.Sleep(ctx, resendInterval)
		}
	}
}

// adoptNewerRoster adopts the list of a member that holds a newer one: this daemon can't read the platform's
// list itself. The answer may have been made as early as the question was asked.
func (n *Node) adoptNewerRoster(reply rosterAck, sentAt time.Time) {
	if len(reply.Replicas) == 0 {
		return
	}
	if n.roster.set(reply.Replicas, sentAt.Add(-time.Duration(reply.AgeMs)*time.Millisecond)) {
		n.publishRoster()
	}
}

// handleRosterUpdate adopts the holder's roster; a difference to something else than is held here is not
// adopted, and the answer says so. A share that was overtaken by a newer one, or comes from a
// holder that another one has followed, is passed over. Of a share with an older list than the one
// held here, only what is barred counts.
func (n *Node) handleRosterUpdate(_ context.Context, update peer.RosterUpdate) rosterAck {
	if !n.roster.advance(update.Fence, update.Sequence) {
		return rosterAck{}
	}
	n.scheduler.Lease().RecordHolderSeen()
	n.scheduler.Demand().HandleRates(update.Rates)
	now := n.clock()
	result := n.roster.adopt(update, now.Add(-time.Duration(update.AgeMs)*time.Millisecond), now)
	if result == baseMismatch {
		return rosterAck{}
	}
	n.publishRoster()
	if result == adopted {
		for _, replica := range update.Replicas {
			n.scheduler.Disks().RecordListed(replica)
		}
		return rosterAck{Adopted: true}
	}
	if update.AgeMs <= staleListAge.Milliseconds() {
		return rosterAck{}
	}
	replicas, at := n.roster.current()
	return rosterAck{Replicas: replicas, AgeMs: now.Sub(at).Milliseconds()}
}
