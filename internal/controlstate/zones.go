package controlstate

import (
	"context"
	"encoding/json"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/keystore"
)

// DrainZone drains a zone, so that no requests are routed to its replicas, or ends the drain.
//
// The call has no base version, so a delayed copy of it must not undo a change that was acknowledged later. It is therefore
// applied only before the deadline, while the caller still waits for the response, and only if the zone has not changed
// since it was first read for this call; otherwise the error is of kind apierror.CallExpired.
func (s *State) DrainZone(ctx context.Context, zone string, drained bool, deadline time.Time) (Change, error) {
	if _, known := s.Zones[zone]; !known {
		return Change{}, apierror.New(apierror.UnknownZone, "%s", zone)
	}
	var first *ZoneRecord
	return s.applyChange(ctx, keystore.ZonePrefix+zone, func(current keystore.Register) (json.RawMessage, error) {
		record, err := DecodeZone(current)
		if err != nil {
			return nil, err
		}
		if record.Version > 0 && record.Drained == drained {
			return nil, errAlreadyApplied
		}
		if first == nil {
			first = &record
		}
		if !s.Clock().Before(deadline) || first.Version != record.Version {
			return nil, apierror.New(apierror.CallExpired, "")
		}
		return json.Marshal(ZoneRecord{Version: record.Version + 1, Drained: drained})
	})
}
