package controlplane

import (
	"context"
	"encoding/json"

	"ferryspar/internal/event"
	"ferryspar/internal/peer"
)

func (d *Daemon) followEvents(ctx context.Context) error {
	followers := map[string]func(payload []byte){
		event.Committed: func(payload []byte) { d.tellCommitted(ctx, payload) },
		event.Placement: func(payload []byte) {
			if d.scheduler.Holding() {
				d.shareRoster(ctx, false)
			}
		},
	}
	for topic, handle := range followers {
		if err := d.bus.Subscribe(ctx, topic, handle); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) tellCommitted(ctx context.Context, payload []byte) {
	var learned peer.KeyUpdate
	if json.Unmarshal(payload, &learned) != nil {
		return
	}
	for _, address := range d.otherControls() {
		go func() { _ = d.peers.Call(ctx, "learn", address, learned, nil) }()
	}
}
