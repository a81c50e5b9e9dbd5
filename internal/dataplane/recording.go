package dataplane

import (
	"ferryspar/internal/configuration"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// recordConfiguration writes the configuration, without API keys, to the request log, if there is one.
func (s *FleetState) recordConfiguration() {
	if s.requestLog == nil {
		return
	}
	s.requestLog.Write(requestlog.Entry{
		Kind:                requestlog.KindConfiguration,
		AtMs:                s.requestLog.OffsetMs(s.clock()),
		PackedConfiguration: packWithoutKeys(s.configuration.Document()),
	})
}

// packWithoutKeys returns the compressed configuration without API keys, or nil if the keys cannot be removed.
func packWithoutKeys(document []byte) []byte {
	withoutKeys, err := configuration.RedactDocument(document)
	if err != nil {
		return nil
	}
	return configuration.Compress(withoutKeys)
}

// recordSnapshot writes the snapshot to the request log, if there is one and endpoints have been received.
func (s *FleetState) recordSnapshot(snapshot *routing.Snapshot) {
	if s.requestLog == nil || s.endpoints.source == "" {
		return
	}
	entry := requestlog.Entry{
		Kind:           requestlog.KindFleet,
		AtMs:           s.requestLog.OffsetMs(s.clock()),
		Replicas:       s.endpoints.listed,
		DataPlaneCount: snapshot.DataPlaneCount,
		Zone:           s.settings.Zone,
	}
	for zone, drained := range snapshot.DrainedZones {
		if drained {
			entry.DrainedZones = append(entry.DrainedZones, zone)
		}
	}
	s.requestLog.Write(entry)
}
