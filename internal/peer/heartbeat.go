package peer

// Heartbeat is sent between control planes.
type Heartbeat struct {
	NodeName string `json:"daemon"`
	// Address is where the sender serves other nodes.
	Address string `json:"address"`
	// Control is always empty; it is part of the protocol between versions.
	Control string `json:"control"`
	// Joining says that the sender has no vote yet.
	Joining bool `json:"joining"`
	// MembershipVersion is that of the membership under which the sender caught up.
	MembershipVersion uint64 `json:"number"`
	// Leaving says that the sender shuts down.
	Leaving bool `json:"leaving"`
	// DataPlanes are the names of the data planes that are live to the sender; only some heartbeats carry them.
	DataPlanes []string `json:"edges,omitempty"`
	Zone       string   `json:"zone,omitempty"`
	// Unreachable lists the members that the sender receives no heartbeats from.
	Unreachable []string `json:"silent,omitempty"`
	// TimeOfDayUs is the sender's time of day, in microseconds since 1970, by its own clock alone.
	TimeOfDayUs int64 `json:"wallUs,omitempty"`
}
