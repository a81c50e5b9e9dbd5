package peer

// EndpointKey names a part of the fleet's state: a backend's model, or all of a backend where Model
// is empty.
type EndpointKey struct {
	Backend string `json:"b"`
	Model   string `json:"m,omitempty"`
}

// Endpoint is a replica that holds a part.
type Endpoint struct {
	ID                string   `json:"i"`
	Address           string   `json:"a"`
	Zone              string   `json:"z"`
	Slots             int      `json:"s"`
	Draining          bool     `json:"d,omitempty"`
	WarmUpRemainingMs float64  `json:"c,omitempty"`
	Adapters          []string `json:"l,omitempty"`
}

// EndpointSet is one part of the fleet's state at a version.
type EndpointSet struct {
	EndpointKey
	Version   uint64     `json:"v"`
	Endpoints []Endpoint `json:"h,omitempty"`
}

// SubscribeRequest changes which parts a data plane follows. Whole starts anew; otherwise Number must
// follow on the last one.
type SubscribeRequest struct {
	DataPlane string        `json:"daemon"`
	Sequence  uint64        `json:"number"`
	Reset     bool          `json:"whole,omitempty"`
	Add       []EndpointKey `json:"add,omitempty"`
	Remove    []EndpointKey `json:"drop,omitempty"`
}

// SubscribeResponse answers a SubscribeRequest with the parts added. Refollow asks the data plane to start
// anew.
type SubscribeResponse struct {
	Incarnation string `json:"life"`
	// FreshMs is how much longer the state counted as confirmed when the answer was made.
	FreshMs       int64         `json:"freshMs,omitempty"`
	Resubscribe   bool          `json:"refollow,omitempty"`
	RosterVersion uint64        `json:"roster"`
	RosterAgeMs   int64         `json:"rosterAge"`
	EndpointSets  []EndpointSet `json:"parts,omitempty"`
}
