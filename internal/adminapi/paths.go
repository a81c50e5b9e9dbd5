package adminapi

// Paths of the admin API, which both ends use. A zone's name follows PathDrainZone.
const (
	PathConfiguration = "/ferryspar/config"
	PathDrainZone     = "/ferryspar/drain-zone/"
	PathRetention     = "/ferryspar/retention"
	PathPurges        = "/ferryspar/forget"
	PathRehearsal     = "/ferryspar/rehearsal"
	PathStatus        = "/ferryspar/status"
)
