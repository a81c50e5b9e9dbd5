package dataplane

import (
	"ferryspar/internal/configuration"
	"ferryspar/internal/match"
	"ferryspar/internal/record"
)

// redacted is the packed configuration as records hold it: without keys. Where that fails it is empty.
func redacted(document []byte) []byte {
	shown, err := configuration.RedactDocument(document)
	if err != nil {
		return nil
	}
	return configuration.Compress(shown)
}

// record writes the fleet to the recording, if there is one.
func (d *FleetState) record(fleet *match.Snapshot) {
	if d.Recorder == nil || d.usedFrom == "" {
		return
	}
	entry := record.Entry{
		Kind:     record.KindFleet,
		AtMs:     d.Recorder.Milliseconds(d.clock()),
		Replicas: d.listed,
		Edges:    fleet.DataPlanes,
		Zone:     d.settings.Zone,
	}
	for zone, drained := range fleet.DrainedZones {
		if drained {
			entry.Drained = append(entry.Drained, zone)
		}
	}
	d.Recorder.Write(entry)
}
