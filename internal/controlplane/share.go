package controlplane

import (
	"context"
	"sort"
	"strconv"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
)

// shared is what a control plane has last been told of the roster, under a stamp.
type shared struct {
	stamp    string
	replicas []platform.Replica
}

// sharePause is the wait before a share that was asked for meanwhile.
const sharePause = 40 * time.Millisecond

// rosterReply says whether the receiver now has the roster of the share. Where that is old and the
// receiver holds a newer list, Replicas is that one, as old as AgeMs.
type rosterReply struct {
	Has      bool               `json:"has"`
	Replicas []platform.Replica `json:"replicas,omitempty"`
	AgeMs    int64              `json:"ageMs,omitempty"`
}

// difference is what changed from base to next, and the ids that are gone.
func difference(base, next []platform.Replica) (changed []platform.Replica, gone []string) {
	held := map[string]platform.Replica{}
	for _, one := range base {
		held[one.ID] = one
	}
	for _, one := range next {
		if before, known := held[one.ID]; !known || !sameListed(before, one) {
			changed = append(changed, one)
		}
		delete(held, one.ID)
	}
	for id := range held {
		gone = append(gone, id)
	}
	sort.Strings(gone)
	return changed, gone
}

// sameListed tells whether two entries are the same in every respect.
func sameListed(one, other platform.Replica) bool {
	if (one.TimeLeftMs == nil) != (other.TimeLeftMs == nil) {
		return false
	}
	if one.TimeLeftMs != nil && *one.TimeLeftMs != *other.TimeLeftMs {
		return false
	}
	return sameReplica(one, other) && one.ColdRemainingMs == other.ColdRemainingMs && sameModels(one.Models, other.Models)
}

// combine applies a difference to a base, ordered by id.
func combine(base, changed []platform.Replica, gone []string) []platform.Replica {
	held := map[string]platform.Replica{}
	for _, one := range append(append([]platform.Replica{}, base...), changed...) {
		held[one.ID] = one
	}
	for _, id := range gone {
		delete(held, id)
	}
	result := make([]platform.Replica, 0, len(held))
	for _, one := range held {
		result = append(result, one)
	}
	sort.Slice(result, func(left, right int) bool { return result[left].ID < result[right].ID })
	return result
}

// shareRoster sends the holder's roster to the other control planes; periodic shares carry rates
// too.
func (d *Daemon) shareRoster(ctx context.Context, periodic bool) {
	for _, address := range d.otherControls() {
		if d.roster.begin(address) {
			go d.shareWith(ctx, address, periodic)
		}
	}
}

// shareWith sends the roster to one control plane, as a difference if it is known what it has, and
// once more if it was to be shared again meanwhile.
func (d *Daemon) shareWith(ctx context.Context, address string, periodic bool) {
	for again := true; again && ctx.Err() == nil; periodic = false {
		hold := d.scheduler.hold.Load()
		if hold == nil {
			d.roster.end(address, shared{}, false)
			return
		}
		snapshot := d.publisher.Current()
		number := d.shares.Add(1)
		share := peer.RosterUpdate{
			Member:   d.self,
			Fence:    hold.Record.Fence,
			Sequence: number,
			AgeMs:    d.clock().Sub(snapshot.RosterAsOf).Milliseconds(),
			Replicas: snapshot.Replicas,
			Cordoned: snapshot.Cordoned,
			Version:  d.life + "/" + strconv.FormatUint(number, 10),
		}
		if periodic {
			share.Rates = d.scheduler.rates()
		}
		if held, known := d.roster.sharedWith(address); known {
			share.BaseVersion = held.stamp
			share.Replicas, share.Removed = difference(held.replicas, snapshot.Replicas)
		}
		var reply rosterReply
		asked := d.clock()
		err := d.peers.Call(ctx, "roster", address, share, &reply)
		if err == nil {
			d.adoptNewer(reply, asked)
		}
		again = d.roster.end(address, shared{share.Version, snapshot.Replicas}, err == nil && reply.Has)
		if again {
			nodesettings.Sleep(ctx, sharePause)
		}
	}
}

// adoptNewer adopts the list of a member that holds a newer one: this daemon can't read the platform's
// list itself. The answer may have been made as early as the question was asked.
func (d *Daemon) adoptNewer(reply rosterReply, asked time.Time) {
	if len(reply.Replicas) == 0 {
		return
	}
	if d.roster.set(reply.Replicas, asked.Add(-time.Duration(reply.AgeMs)*time.Millisecond)) {
		d.publishRoster()
	}
}

// hearRoster adopts the holder's roster; a difference to something else than is held here is not
// adopted, and the answer says so. A share that was overtaken by a newer one, or comes from a
// holder that another one has followed, is passed over. Of a share with an older list than the one
// held here, only what is barred counts.
func (d *Daemon) hearRoster(_ context.Context, share peer.RosterUpdate) rosterReply {
	if !d.roster.advance(share.Fence, share.Sequence) {
		return rosterReply{}
	}
	d.scheduler.heardHolder()
	d.scheduler.hearRates(share.Rates)
	now := d.clock()
	result := d.roster.adopt(share, now.Add(-time.Duration(share.AgeMs)*time.Millisecond), now)
	if result == unfounded {
		return rosterReply{}
	}
	d.publishRoster()
	if result == adopted {
		for _, one := range share.Replicas {
			d.scheduler.rememberListed(one)
		}
		return rosterReply{Has: true}
	}
	if share.AgeMs <= staleList.Milliseconds() {
		return rosterReply{}
	}
	replicas, at := d.roster.held()
	return rosterReply{Replicas: replicas, AgeMs: now.Sub(at).Milliseconds()}
}
