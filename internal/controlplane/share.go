package controlplane

import (
	"context"
	"sort"
	"strconv"
	"time"

	"ferryspar/internal/partner"
	"ferryspar/internal/platform"
)

type shared struct {
	stamp    string
	replicas []platform.Replica
}

type rosterReply struct {
	Has bool `json:"has"`
}

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

func sameListed(one, other platform.Replica) bool {
	if (one.TimeLeftMs == nil) != (other.TimeLeftMs == nil) || one.TimeLeftMs != nil && *one.TimeLeftMs != *other.TimeLeftMs {
		return false
	}
	return sameFact(one, other) && one.ColdRemainingMs == other.ColdRemainingMs && sameHeld(one.Models, other.Models)
}

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

func (d *Daemon) shareRoster(ctx context.Context) {
	bulletin := d.board.Read()
	share := partner.RosterShare{
		Member: d.self, AgeMs: d.clock().Sub(bulletin.RosterAt).Milliseconds(), Replicas: bulletin.Replicas, Barred: bulletin.Barred,
		Stamp: d.life + "/" + strconv.FormatUint(d.shares.Add(1), 10), Rates: d.warden.rates(),
	}
	for _, address := range d.otherControls() {
		one := share
		d.roster.lock.Lock()
		if held, known := d.roster.shared[address]; known {
			one.Base = held.stamp
			one.Replicas, one.Gone = difference(held.replicas, share.Replicas)
		}
		d.roster.lock.Unlock()
		go func() {
			var reply rosterReply
			err := d.session.Ask(ctx, "roster", address, one, &reply)
			d.roster.lock.Lock()
			defer d.roster.lock.Unlock()
			if d.roster.shared == nil {
				d.roster.shared = map[string]shared{}
			}
			delete(d.roster.shared, address)
			if err == nil && reply.Has {
				d.roster.shared[address] = shared{share.Stamp, share.Replicas}
			}
		}()
	}
}

func (d *Daemon) hearRoster(ctx context.Context, share partner.RosterShare) rosterReply {
	d.warden.heardHolder()
	d.warden.hearRates(share.Rates)
	at := d.clock().Add(-time.Duration(share.AgeMs) * time.Millisecond)
	d.roster.lock.Lock()
	replicas := share.Replicas
	if share.Base != "" {
		if d.roster.from != share.Member || d.roster.stamp != share.Base {
			d.roster.lock.Unlock()
			return rosterReply{}
		}
		replicas = combine(d.roster.replicas, share.Replicas, share.Gone)
	}
	d.roster.replicas, d.roster.at = replicas, at
	d.roster.from, d.roster.stamp = share.Member, share.Stamp
	d.roster.lock.Unlock()
	for _, one := range share.Replicas {
		d.warden.notice(one)
	}
	d.post(replicas, share.Barred, at)
	return rosterReply{Has: true}
}
