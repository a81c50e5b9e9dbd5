package hollow

// Requests counts the requests of the clients: Complete streams, requests Rejected before their stream began, and Broken ones.
type Requests struct {
	Sent     int64     `json:"asked"`
	Complete int64     `json:"whole"`
	Rejected int64     `json:"refused"`
	Broken   int64     `json:"cut"`
	First    Quantiles `json:"first"`
}

// Changes holds the number of configuration changes and the times until they were acknowledged, in force at each data plane,
// and in force at all data planes. Missed counts data planes that did not apply a change in time.
type Changes struct {
	Made         int       `json:"made"`
	Missed       int       `json:"missed"`
	Acknowledged Quantiles `json:"acknowledged"`
	InForce      Quantiles `json:"inForce"`
	Everywhere   Quantiles `json:"everywhere"`
}

// PlacementCalls counts the calls of the control planes to the stand-ins.
type PlacementCalls struct {
	ListPages    int64 `json:"listPages"`
	Instructions int64 `json:"orders"`
	Reports      int64 `json:"reports"`
}

// Result holds all measurements of one fleet.
type Result struct {
	Plan           Plan           `json:"plan"`
	Ready          Quantiles      `json:"ready"`
	Phases         []Phase        `json:"phases"`
	Failures       []Failure      `json:"troubles,omitempty"`
	Requests       Requests       `json:"orders"`
	Changes        Changes        `json:"changes"`
	PlacementCalls PlacementCalls `json:"placed"`
	MemoryMb       float64        `json:"memoryMb"`
	Processes      int            `json:"processes"`
	DurationS      float64        `json:"tookS"`
}

// readCounts copies the current counts of the operator, the clients and the stand-ins to the result.
func (f *Fleet) readCounts(result *Result) {
	result.Changes = Changes{
		Made:         f.operator.changes,
		Missed:       f.operator.missed,
		Acknowledged: f.operator.acknowledged.Quantiles(),
		InForce:      f.operator.inForce.Quantiles(),
		Everywhere:   f.operator.everywhere.Quantiles(),
	}
	result.Requests = Requests{
		Sent:     f.clients.sent.Load(),
		Complete: f.clients.complete.Load(),
		Rejected: f.clients.rejected.Load(),
		Broken:   f.clients.broken.Load(),
		First:    f.clients.first.Quantiles(),
	}
	result.PlacementCalls = PlacementCalls{
		ListPages:    f.standIns.pages.Load(),
		Instructions: f.standIns.instructions.Load(),
		Reports:      f.standIns.reports.Load(),
	}
}
