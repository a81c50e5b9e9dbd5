package dataplane

import (
	"ferryspar/internal/configuration"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// redacted is the packed configuration as records hold it: without keys. Where that fails it is empty.
func redacted(document []byte) []byte {
	redactedDocument, err := configuration.RedactDocument(document)
	if err != nil {
		return nil
	}
	return configuration.Compress(redactedDocument)
}

// record writes the fleet to the recording, if there is one.
func (s *FleetState) recordFleet(fleet *routing.Snapshot) {
	if s.Recorder == nil || s.endpointsFrom == "" {
		return
	}
	entry := requestlog.Entry{
		Kind:      requestlog.KindFleet,
		AtMs:      s.Recorder.OffsetMs(s.clock()),
		Replicas:  s.listedReplicas,
		EdgeCount: fleet.DataPlanes,
		Zone:      s.settings.Zone,
	}
	for zone, drained := range fleet.DrainedZones {
		if drained {
			entry.DrainedZones = append(entry.DrainedZones, zone)
		}
	}
	s.Recorder.Write(entry)
}
