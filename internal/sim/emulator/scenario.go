package emulator

import "ferryspar/internal/routing"

// Scenario describes a fleet, its traffic and its failures, as read from an experiment file. Field
// names end in their unit: S for seconds, Ms for milliseconds.
type Scenario struct {
	Seed    uint64  `koanf:"seed"`
	LengthS float64 `koanf:"lengthS"`
	// WarmS is the warm-up time at the beginning that the figures leave out.
	WarmS float64 `koanf:"warmS"`
	// BucketS is the width of the time buckets and the sampling interval.
	BucketS float64 `koanf:"bucketS"`
	Zones   []Zone  `koanf:"zones"`
	// SpareReplicas is the number of replicas added to every zone.
	SpareReplicas  int                `koanf:"spareReplicas"`
	Links          Links              `koanf:"links"`
	Replica        Performance        `koanf:"replica"`
	Models         Models             `koanf:"models"`
	Traffic        Traffic            `koanf:"traffic"`
	Classes        []Class            `koanf:"classes"`
	Losses         []Loss             `koanf:"losses"`
	Crashes        []Crash            `koanf:"crashes"`
	Slowdowns      []Slowdown         `koanf:"slowdowns"`
	Platform       Platform           `koanf:"platform"`
	Placement      Placement          `koanf:"placement"`
	Parameters     routing.Parameters `koanf:"parameters"`
	Disaggregation Disaggregation     `koanf:"split"`
}

// Zone describes a zone. Clients is the relative weight of its share of the clients.
type Zone struct {
	Name       string  `koanf:"name"`
	Region     string  `koanf:"region"`
	DataPlanes int     `koanf:"dataPlanes"`
	Replicas   int     `koanf:"replicas"`
	Clients    float64 `koanf:"clients"`
}

// Links are the one-way network delays within a zone, within a region and between regions.
type Links struct {
	ZoneMs        float64 `koanf:"zoneMs"`
	RegionMs      float64 `koanf:"regionMs"`
	CrossRegionMs float64 `koanf:"farMs"`
}

// Performance is the model of a replica with continuous batching. A step takes StepMs, multiplied by up
// to 1+OccupancyFactor as slots fill, and PrefillMs more per thousand prompt tokens processed in it. One
// step processes at most ChunkTokens prompt tokens.
type Performance struct {
	Slots           int     `koanf:"slots"`
	QueuePlaces     int     `koanf:"queuePlaces"`
	KvCacheTokens   float64 `koanf:"kvCacheTokens"`
	StepMs          float64 `koanf:"stepMs"`
	OccupancyFactor float64 `koanf:"crowding"`
	PrefillMs       float64 `koanf:"readMsPerThousand"`
	ChunkTokens     float64 `koanf:"chunkTokens"`
	// SpeedSigma is the sigma of the log-normal distribution of the machines' speeds.
	SpeedSigma float64 `koanf:"spread"`
	ColdStartS float64 `koanf:"coldStartS"`
	ColdPerS   float64 `koanf:"coldPerS"`
	// ColdFactor multiplies the step time of a replica during the ColdStartS seconds after a restart.
	ColdFactor float64 `koanf:"coldFactor"`
	// RepeatedEvents is the number of events that a replica repeats when a stream resumes, to test that the
	// check for duplicate events detects them.
	RepeatedEvents int `koanf:"repeatsOnResume"`
}

// Models describes the models of the fleet. Their popularity follows Zipf's law with the exponent Zipf.
// Only the first model has adapters.
type Models struct {
	Count      int     `koanf:"count"`
	Zipf       float64 `koanf:"zipf"`
	PerReplica int     `koanf:"perReplica"`
	LoadTimeS  float64 `koanf:"loadTimeS"`
	LoadsPerS  float64 `koanf:"loadsPerS"`
	// ConcurrentLoads is the number of loads that the store serves at full speed.
	ConcurrentLoads int `koanf:"loadsAtOnce"`
	Adapters        int `koanf:"adapters"`
	AdapterCapacity int `koanf:"adapterCapacity"`
	// SharedTokens is the length of the prompt prefix that all requests of a model share.
	SharedTokens float64 `koanf:"sharedTokens"`
}

// Traffic describes the requests: multi-turn dialogues drawn at random, or a recording read from the
// file Record. Turns is the mean number of turns of a dialogue and ThinkS the mean time between them.
type Traffic struct {
	RatePerS     float64 `koanf:"perS"`
	BurstEveryS  float64 `koanf:"burstEveryS"`
	BurstLengthS float64 `koanf:"burstLengthS"`
	BurstFactor  float64 `koanf:"burstFactor"`
	Turns        float64 `koanf:"turns"`
	ThinkS       float64 `koanf:"thinkS"`
	Record       string  `koanf:"record"`
}

// LogNormal is a log-normal distribution of sizes in tokens, with an upper bound.
type LogNormal struct {
	Median float64 `koanf:"median"`
	Sigma  float64 `koanf:"sigma"`
	Max    float64 `koanf:"most"`
}

// Class is a class of requests, served by the route of the same name.
type Class struct {
	Name  string  `koanf:"name"`
	Share float64 `koanf:"share"`
	// LatencyTargetMs is the target for the time to first token.
	LatencyTargetMs float64 `koanf:"aimMs"`
	TimeoutMs       float64 `koanf:"timeoutMs"`
	// TokenGapMs is the longest gap between tokens that still counts as in time.
	TokenGapMs float64 `koanf:"tokenGapMs"`
	Priority   int     `koanf:"priority"`
	Resumable  bool    `koanf:"resumable"`
	RetryCount int     `koanf:"retryCount"`
	// Attempts is how many attempts a client makes; RetryCount is how many forwards an edge makes.
	Attempts       int       `koanf:"tries"`
	AllowedRegions []string  `koanf:"allowedRegions"`
	Prompt         LogNormal `koanf:"prompt"`
	Output         LogNormal `koanf:"output"`
}

// Loss is the failure of a zone or a region. It is never restored if RestoreS is 0. If Closed is set,
// connections are closed at once; otherwise the lost side stops responding without closing them.
type Loss struct {
	Zone     string  `koanf:"zone"`
	Region   string  `koanf:"region"`
	AtS      float64 `koanf:"atS"`
	RestoreS float64 `koanf:"backS"`
	Closed   bool    `koanf:"closed"`
}

// Crash ends the replica of a machine. Replica is the number of the machine, counted from 1. The replica
// restarts after RestartS seconds, or never if that is 0.
type Crash struct {
	AtS      float64 `koanf:"atS"`
	Replica  int     `koanf:"replica"`
	RestartS float64 `koanf:"restartS"`
}

// Slowdown multiplies the step time of a replica by Factor from AtS to EndS.
type Slowdown struct {
	AtS     float64 `koanf:"atS"`
	EndS    float64 `koanf:"backS"`
	Replica int     `koanf:"replica"`
	Factor  float64 `koanf:"factor"`
}

// Platform describes the platform: the lag of its replica list (LagMs), the interval at which the control
// plane reads the list (RefreshMs), how long the platform takes to detect a dead replica
// (ReplicaDetectionS) or data plane (DataPlaneDetectionS), and how long another control plane takes to
// take over (TakeoverS).
type Platform struct {
	LagMs               float64 `koanf:"lagMs"`
	RefreshMs           float64 `koanf:"refreshMs"`
	ReplicaDetectionS   float64 `koanf:"goneS"`
	DataPlaneDetectionS float64 `koanf:"noticeS"`
	TakeoverS           float64 `koanf:"takeoverS"`
}

// Placement describes how the initial copies of models are placed: Copies is CopiesSpread or
// CopiesPacked, and FillRatio is the share of the capacity beyond one copy of each model that is filled.
type Placement struct {
	Copies    string  `koanf:"copies"`
	FillRatio float64 `koanf:"busyShare"`
}

const (
	// CopiesSpread places a copy in the zone that has the fewest copies of the model.
	CopiesSpread = "spread"
	// CopiesPacked places a copy in the zone that has the most copies of the model.
	CopiesPacked = "packed"
)

// Defaults returns the scenario that the values of an experiment file override. It has no zones and no
// classes.
func Defaults() Scenario {
	return Scenario{
		Seed:    1,
		LengthS: 120,
		WarmS:   20,
		BucketS: 2,
		Links:   Links{ZoneMs: 0.3, RegionMs: 1.5, CrossRegionMs: 35},
		Replica: Performance{
			Slots:           16,
			QueuePlaces:     8,
			KvCacheTokens:   60000,
			StepMs:          18,
			OccupancyFactor: 1,
			PrefillMs:       60,
			ChunkTokens:     512,
			SpeedSigma:      0.08,
			ColdStartS:      3,
			ColdPerS:        12,
			ColdFactor:      2,
		},
		Models: Models{
			Count:           12,
			Zipf:            1,
			PerReplica:      3,
			LoadTimeS:       5,
			LoadsPerS:       1,
			ConcurrentLoads: 4,
			Adapters:        4,
			AdapterCapacity: 4,
			SharedTokens:    600,
		},
		Traffic:        Traffic{RatePerS: 20, BurstFactor: 1, Turns: 3, ThinkS: 6},
		Platform:       Platform{LagMs: 300, RefreshMs: 250, ReplicaDetectionS: 4, DataPlaneDetectionS: 2, TakeoverS: 4},
		Placement:      Placement{Copies: CopiesSpread, FillRatio: 0.75},
		Parameters:     routing.DefaultParameters(),
		Disaggregation: Disaggregation{LinkMbps: 400000, KvTokenBytes: 163840, SetupMs: 4, HandleExpiryS: 5},
	}
}
