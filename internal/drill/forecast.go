package drill

import (
	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
)

// FleetView is the control plane's view of the fleet when a forecast is made. Zones maps each zone to its
// region, DataPlanes and MemberZones map names to zones; Demand is requests per second by "backend model".
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

// RouteForecast is the forecast for a route over all data planes. Times to the first token are in
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

// LostModel is a model or adapter without a copy outside the scope, with its requests per second
// and its load time in milliseconds.
type LostModel struct {
	Backend  string  `json:"backend"`
	Model    string  `json:"model"`
	RatePerS float64 `json:"perS"`
	LoadMs   float64 `json:"loadMs,omitempty"`
}

// LoadEstimate is the number of loads and their minimum time in milliseconds for loading the lost models:
// all of them, and those in demand.
type LoadEstimate struct {
	Loads         int     `json:"loads"`
	MinMs         float64 `json:"leastMs"`
	InDemandLoads int     `json:"wantedLoads"`
	InDemandMinMs float64 `json:"wantedLeastMs"`
}

// ReplicaForecast is a replica outside the scope with the requests that it would run.
type ReplicaForecast struct {
	Replica string `json:"replica"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Moved   int    `json:"moved"`
	Full    bool   `json:"full"`
}

// PlacementStep is one of the first loads or unloads that the scheduler would order, with its reason.
type PlacementStep struct {
	Replica string `json:"replica"`
	Load    bool   `json:"load"`
	Model   string `json:"model"`
	Reason  string `json:"why"`
}

// PlacementPlan is the list of first placement steps. HoldsLease is set if the node that made the
// plan holds the placement lease; otherwise there are no steps.
type PlacementPlan struct {
	HoldsLease bool            `json:"holds"`
	Steps      []PlacementStep `json:"steps"`
}

// ControlForecast is the effect of the loss on the control plane. UnknownZone lists the members whose
// zone isn't known.
type ControlForecast struct {
	Members       []string `json:"members"`
	Lost          []string `json:"lost"`
	UnknownZone   []string `json:"zoneUnknown,omitempty"`
	KeepsMajority bool     `json:"majorityStays"`
	LeaseMoves    bool     `json:"placementMoves"`
	LeaseHolder   string   `json:"placementHolder"`
}

// Forecast is the complete response to an operator. Partial is set if some nodes, named in Missing,
// didn't respond.
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
