package heartbeat

import "time"

// Zones returns the zone of each daemon that is not past Life, by name.
func (s *Registry) Zones(now time.Time) map[string]string {
	zones := map[string]string{}
	for name, heartbeat := range s.heartbeats {
		if now.Sub(heartbeat.ReportedAt) <= s.ExpireAfter || now.Sub(heartbeat.LastSeen) <= s.ExpireAfter {
			zones[name] = heartbeat.Zone
		}
	}
	return zones
}
