package drill

import (
	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
)

// FleetView is what the control plane knows when a forecast is made. Zones maps a zone to its region,
// DataPlanes and MemberZones map a name to its zone; Demand is requests a second by "backend model".
type FleetView struct {
	Scope       Scope
	Zones       map[string]string
	Replicas    []discovery.Replica
	Table       *configuration.Table
	Demand      map[string]float64
	DataPlanes  map[string]string
	Members     []string
	MemberZones map[string]string
	LeaseHolder string
}

// RouteForecast is the forecast of a route over all data planes. Times to the first token are
// milliseconds.
type RouteForecast struct {
	Name            string  `json:"name"`
	Priority        int     `json:"priority"`
	LatencyTargetMs float64 `json:"aimMs"`
	RatePerS        float64 `json:"perS"`
	RouteCounts
	FirstTokenNow       Quantiles `json:"firstNow"`
	FirstTokenAfterLoss Quantiles `json:"firstThen"`
}

// LostModel is a model or adapter without a copy outside the scope, the requests a second for it,
// and its load time in milliseconds.
type LostModel struct {
	Backend  string  `json:"backend"`
	Model    string  `json:"model"`
	RatePerS float64 `json:"perS"`
	LoadMs   float64 `json:"loadMs,omitempty"`
}

// LoadEstimate is the least time, in milliseconds, that loading the lost models takes: for all of them,
// and for those in demand.
type LoadEstimate struct {
	Loads         int     `json:"loads"`
	MinMs         float64 `json:"leastMs"`
	InDemandLoads int     `json:"wantedLoads"`
	InDemandMinMs float64 `json:"wantedLeastMs"`
}

// ReplicaForecast is a replica that stays, with what it would run.
type ReplicaForecast struct {
	Replica string `json:"replica"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Moved   int    `json:"moved"`
	Full    bool   `json:"full"`
}

// PlacementStep is a load or unload that the scheduler would order first, and why.
type PlacementStep struct {
	Replica string `json:"replica"`
	Load    bool   `json:"load"`
	Model   string `json:"model"`
	Reason  string `json:"why"`
}

// PlacementPlan is the list of first placement steps. HoldsLease tells whether the node that
// made it holds the placement lease; without it there are no steps.
type PlacementPlan struct {
	HoldsLease bool            `json:"holds"`
	Steps      []PlacementStep `json:"steps"`
}

// ControlForecast is what the loss does to the control plane.
type ControlForecast struct {
	Members       []string `json:"members"`
	Lost          []string `json:"lost"`
	UnknownZone   []string `json:"zoneUnknown,omitempty"`
	KeepsMajority bool     `json:"majorityStays"`
	LeaseMoves    bool     `json:"placementMoves"`
	LeaseHolder   string   `json:"placementHolder"`
}

// Forecast is the whole answer to an operator. Partial tells that some data planes, named in
// Missing, didn't answer.
type Forecast struct {
	Scope          Scope                   `json:"scope"`
	Partial        bool                    `json:"partial"`
	Answered       []string                `json:"answered"`
	Missing        []string                `json:"missing"`
	DataPlanesLost []string                `json:"edgesLost"`
	ReplicasLost   []string                `json:"replicasLost"`
	ReplicasLeft   int                     `json:"replicasLeft"`
	Routes         []RouteForecast         `json:"routes"`
	LostModels     []LostModel             `json:"noCopyLeft"`
	LoadEstimate   LoadEstimate            `json:"store"`
	Cached         map[string]CachedTokens `json:"warm"`
	InFlight       InFlight                `json:"inFlight"`
	Placement      []PlacementStep         `json:"placement"`
	Replicas       []ReplicaForecast       `json:"replicas"`
	Control        ControlForecast         `json:"control"`
}
