package controlplane

import (
	"context"
	"time"

	"ferryspar/internal/env"
	"ferryspar/internal/partner"
)

func (d *Daemon) sumsLoop(ctx context.Context) {
	schedule := time.NewTicker(sumsEvery)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-schedule.C:
			d.exchange(ctx)
		case <-d.sums.nudge:
			d.tellDemand(ctx, partner.SumShare{Member: d.self})
			env.Sleep(ctx, sumsPause)
		}
	}
}

func (d *Daemon) exchange(ctx context.Context) {
	share := d.sums.Share(d.self, d.clock())
	holder := d.board.Read().Holder
	for _, address := range d.otherControls() {
		if address != holder {
			go func() { _ = d.session.Ask(ctx, "sums", address, share, nil) }()
		}
	}
	d.tellDemand(ctx, share)
}

func (d *Daemon) tellDemand(ctx context.Context, share partner.SumShare) {
	holder := d.board.Read().Holder
	if holder == "" {
		return
	}
	share = d.sums.Demand(share)
	if holder == d.self {
		d.warden.hearDemand(share)
		return
	}
	go func() {
		if err := d.session.Ask(ctx, "sums", holder, share, nil); err != nil {
			d.sums.restore(share)
		}
	}()
}
