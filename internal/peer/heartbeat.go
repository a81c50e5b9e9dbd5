package peer

// Heartbeat is sent between control planes.
type Heartbeat struct {
	NodeName string `json:"daemon"`
	// Address is the address at which the sender serves other nodes.
	Address string `json:"address"`
	// Control is always empty; it is part of the protocol between versions.
	Control string `json:"control"`
	// Joining is set while the sender has no vote yet.
	Joining bool `json:"joining"`
	// MembershipVersion is the version of the membership under which the sender caught up.
	MembershipVersion uint64 `json:"number"`
	// Leaving is set while the sender shuts down.
	Leaving bool `json:"leaving"`
	// DataPlanes are the names of the data planes that the sender considers live; only some heartbeats include them.
	DataPlanes []string `json:"edges,omitempty"`
	Zone       string   `json:"zone,omitempty"`
	// Unreachable lists the members whose heartbeats the sender does not receive.
	Unreachable []string `json:"silent,omitempty"`
	// TimeOfDayUs is the wall-clock time of the sender's own clock, in microseconds since 1970.
	TimeOfDayUs int64 `json:"wallUs,omitempty"`
}
