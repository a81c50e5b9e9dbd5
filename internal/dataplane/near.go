package dataplane

import (
	"ferryspar/internal/match"
	"ferryspar/internal/record"
	"net"
	"strings"
)

func sameNetwork(address, own string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	left, right := strings.Split(host, "."), strings.Split(own, ".")
	return len(left) == 4 && len(right) == 4 && left[0] == right[0] && left[1] == right[1]
}

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
