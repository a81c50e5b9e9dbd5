package dataplane

import (
	"ferryspar/internal/match"
	"ferryspar/internal/record"
)

func (d *Desk) record(fleet *match.Fleet) {
	if d.Recorder == nil || d.usedFrom == "" {
		return
	}
	entry := record.Entry{Kind: record.KindFleet, AtMs: d.Recorder.Milliseconds(d.clock()), Replicas: d.listed, Edges: fleet.Edges, Area: d.settings.Area}
	for area, drained := range fleet.Drained {
		if drained {
			entry.Drained = append(entry.Drained, area)
		}
	}
	d.Recorder.Put(entry)
}
