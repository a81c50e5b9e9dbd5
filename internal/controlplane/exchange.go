package controlplane

import (
	"context"
	"sync"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// sumsEvery is how often sums go to the other control planes.
	sumsEvery = 250 * time.Millisecond
	// sumsPause is the least time between two hurried shares of demand.
	sumsPause = 20 * time.Millisecond
	// demandTurns is how many exchanges there are to one share of the demand.
	demandTurns = 2
)

// exchanged remembers which control planes could not open packed sums.
type exchanged struct {
	lock  sync.Mutex
	named map[string]bool
}

// wants tells whether sums for the address must name their replicas.
func (e *exchanged) wants(address string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.named[address]
}

// note keeps whether the address wants named sums.
func (e *exchanged) note(address string, named bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.named == nil {
		e.named = map[string]bool{}
	}
	e.named[address] = named
}

// sumsLoop shares sums and demand until the context ends, and demand at once if a model is newly
// waited for.
func (d *Daemon) sumsLoop(ctx context.Context) {
	ticker := time.NewTicker(sumsEvery)
	defer ticker.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.exchange(ctx)
			if turn++; turn%demandTurns == 0 {
				d.tellDemand(ctx, false)
			}
		case <-d.sums.nudge:
			d.tellDemand(ctx, true)
			nodesettings.Sleep(ctx, sumsPause)
		}
	}
}

// exchange sends this daemon's sums to every other control plane and does not wait for the answers.
func (d *Daemon) exchange(ctx context.Context) {
	whole := d.sums.Share(d.self, d.clock())
	packed := d.dense.pack(whole, d.roster.listed())
	for _, address := range d.otherControls() {
		share := packed
		if d.exchanged.wants(address) {
			share = whole
		}
		go func() {
			var reply peer.LoadSumReply
			if d.peers.Ask(ctx, "sums", address, share, &reply) == nil {
				d.exchanged.note(address, reply.Unknown)
			}
		}()
	}
}

// tellDemand gives this daemon's share of the demand to the placement holder, which may be itself.
// Arrivals that may not have been delivered are sent again, and count once.
func (d *Daemon) tellDemand(ctx context.Context, partial bool) {
	holder := d.publisher.Read().Holder
	if holder == "" {
		return
	}
	share := d.sums.Demand(d.self, partial)
	if partial && len(share.Models) == 0 {
		return
	}
	share.Life = d.life
	if holder == d.self {
		d.scheduler.hearDemand(share)
		d.sums.delivered(share)
		return
	}
	go func() {
		if err := d.peers.Ask(ctx, "sums", holder, share, nil); err != nil {
			d.sums.restore(share)
			return
		}
		d.sums.delivered(share)
	}()
}
