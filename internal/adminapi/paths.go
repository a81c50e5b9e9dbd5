package adminapi

// Paths of the admin API. PathDrainZone is followed by the name of the zone.
const (
	PathConfiguration = "/ferryspar/config"
	PathDrainZone     = "/ferryspar/drain-zone/"
	PathRetention     = "/ferryspar/retention"
	PathPurges        = "/ferryspar/forget"
	PathRehearsal     = "/ferryspar/rehearsal"
	PathStatus        = "/ferryspar/status"
)
