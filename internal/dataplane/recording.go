package dataplane

import (
	"ferryspar/internal/match"
	"ferryspar/internal/record"
)

func (d *Desk) record(fleet *match.Fleet) {
	held := d.sources[d.usedFrom]
	if d.Recorder == nil || held == nil {
		return
	}
	entry := record.Entry{Kind: record.KindFleet, AtMs: d.Recorder.Milliseconds(d.clock()), Replicas: held.replicas, Edges: fleet.Edges, Area: d.settings.Area}
	for area, drained := range fleet.Drained {
		if drained {
			entry.Drained = append(entry.Drained, area)
		}
	}
	d.Recorder.Put(entry)
}
