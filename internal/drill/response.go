package drill

// ForecastRequest requests a data plane's part of a forecast.
type ForecastRequest struct {
	Number uint64 `json:"number"`
	Scope  Scope  `json:"scope"`
}

// RouteCounts counts sampled requests of a route by the predicted effect of the loss on them. Fields whose names
// end in Now are the same counts without the loss. AllRegionsLost counts requests whose allowed regions are all
// lost, NotSubscribed counts requests that were not evaluated since the data plane no longer follows their model's
// endpoints, and RecomputedTokens is the number of prompt tokens whose cached prefix is lost.
type RouteCounts struct {
	Sampled           int     `json:"sampled"`
	NotMoved          int     `json:"stay"`
	Moved             int     `json:"moved"`
	Waiting           int     `json:"wait"`
	WaitingNow        int     `json:"waitNow"`
	ModelNotLoaded    int     `json:"nowhereLoaded"`
	ModelNotLoadedNow int     `json:"nowhereLoadedNow"`
	AllRegionsLost    int     `json:"boundToLost"`
	Late              int     `json:"late"`
	LateNow           int     `json:"lateNow"`
	NotSubscribed     int     `json:"notFollowed"`
	RecomputedTokens  float64 `json:"tokensReadAgain"`
}

// Add adds other to the counts.
func (c *RouteCounts) Add(other RouteCounts) {
	c.Sampled += other.Sampled
	c.NotMoved += other.NotMoved
	c.Moved += other.Moved
	c.Waiting += other.Waiting
	c.WaitingNow += other.WaitingNow
	c.ModelNotLoaded += other.ModelNotLoaded
	c.ModelNotLoadedNow += other.ModelNotLoadedNow
	c.AllRegionsLost += other.AllRegionsLost
	c.Late += other.Late
	c.LateNow += other.LateNow
	c.NotSubscribed += other.NotSubscribed
	c.RecomputedTokens += other.RecomputedTokens
}

// DataPlaneRoute is a route at one data plane. FirstTokenNow and FirstTokenAfterLoss are encoded histograms of the
// time to the first token in milliseconds, without and with the loss.
type DataPlaneRoute struct {
	Name            string  `json:"name"`
	Priority        int     `json:"priority"`
	LatencyTargetMs float64 `json:"aimMs"`
	RatePerS        float64 `json:"perS"`
	RouteCounts
	FirstTokenNow       string `json:"firstNow,omitempty"`
	FirstTokenAfterLoss string `json:"firstThen,omitempty"`
}

// CachedTokens counts cached prompt tokens of a model: those in the scope, which are lost; those of the lost ones
// that are cached nowhere else; and those kept outside the scope.
type CachedTokens struct {
	Lost        float64 `json:"lostTokens"`
	OnlyInScope float64 `json:"heldNowhereElse"`
	Kept        float64 `json:"keptTokens"`
}

// ReplicaLoad counts a data plane's requests that run on a replica, and those that would move there from lost
// replicas.
type ReplicaLoad struct {
	Running int `json:"running"`
	Moved   int `json:"moved"`
}

// InFlight counts the requests in flight at the time of the loss.
type InFlight struct {
	Running        int `json:"running"`
	OnLostReplicas int `json:"atLost"`
	Resumable      int `json:"goOn"`
	Aborted        int `json:"cut"`
	Waiting        int `json:"waiting"`
	Placed         int `json:"placed"`
	StillWaiting   int `json:"stuck"`
	AllRegionsLost int `json:"boundToLost"`
}

// Add adds other to the counts.
func (f *InFlight) Add(other InFlight) {
	f.Running += other.Running
	f.OnLostReplicas += other.OnLostReplicas
	f.Resumable += other.Resumable
	f.Aborted += other.Aborted
	f.Waiting += other.Waiting
	f.Placed += other.Placed
	f.StillWaiting += other.StillWaiting
	f.AllRegionsLost += other.AllRegionsLost
}

// ForecastResponse is one data plane's part of a forecast. Ready is false if the data plane has no
// configuration yet.
type ForecastResponse struct {
	Number    uint64                  `json:"number"`
	DataPlane string                  `json:"edge"`
	Zone      string                  `json:"zone"`
	Ready     bool                    `json:"ready"`
	Routes    []DataPlaneRoute        `json:"routes,omitempty"`
	Cached    map[string]CachedTokens `json:"warm,omitempty"`
	Replicas  map[string]ReplicaLoad  `json:"replicas,omitempty"`
	InFlight  InFlight                `json:"flight"`
}
