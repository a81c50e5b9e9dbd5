package emulator

import "ferryspar/internal/routing"

// Scenario describes a fleet, its traffic and its failures, as a file gives them. Names end in the
// unit: S for seconds, Ms for milliseconds.
type Scenario struct {
	Seed    uint64  `koanf:"seed"`
	LengthS float64 `koanf:"lengthS"`
	// WarmS is the time at the beginning that figures leave out.
	WarmS float64 `koanf:"warmS"`
	// BucketS is the width of the buckets of time and the period of samples.
	BucketS float64 `koanf:"bucketS"`
	Zones   []Zone  `koanf:"zones"`
	// SpareReplicas are added to every zone.
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

// Zone is a zone with its share of the clients, as a weight.
type Zone struct {
	Name       string  `koanf:"name"`
	Region     string  `koanf:"region"`
	DataPlanes int     `koanf:"dataPlanes"`
	Replicas   int     `koanf:"replicas"`
	Clients    float64 `koanf:"clients"`
}

// Links are the one-way delays within a zone, within a region and beyond.
type Links struct {
	ZoneMs        float64 `koanf:"zoneMs"`
	RegionMs      float64 `koanf:"regionMs"`
	CrossRegionMs float64 `koanf:"farMs"`
}

// Performance is the model of a replica. A step takes StepMs, more by Crowding as slots fill, and
// ReadMs per thousand prompt tokens read in it, ChunkTokens at most.
type Performance struct {
	Slots           int     `koanf:"slots"`
	QueuePlaces     int     `koanf:"queuePlaces"`
	KvCacheTokens   float64 `koanf:"kvCacheTokens"`
	StepMs          float64 `koanf:"stepMs"`
	OccupancyFactor float64 `koanf:"crowding"`
	PrefillMs       float64 `koanf:"readMsPerThousand"`
	ChunkTokens     float64 `koanf:"chunkTokens"`
	// SpeedSigma is the sigma of the machines' log-normal speeds.
	SpeedSigma float64 `koanf:"spread"`
	ColdStartS float64 `koanf:"coldStartS"`
	ColdPerS   float64 `koanf:"coldPerS"`
	// ColdFactor lengthens the steps of a replica started within ColdStartS.
	ColdFactor float64 `koanf:"coldFactor"`
	// RepeatedEvents makes replicas repeat events when a stream resumes, to show that the check sees it.
	RepeatedEvents int `koanf:"repeatsOnResume"`
}

// Models are the models of the fleet; their popularity follows Zipf's law with the given exponent.
// Only the first has adapters.
type Models struct {
	Count      int     `koanf:"count"`
	Zipf       float64 `koanf:"zipf"`
	PerReplica int     `koanf:"perReplica"`
	LoadTimeS  float64 `koanf:"loadTimeS"`
	LoadsPerS  float64 `koanf:"loadsPerS"`
	// ConcurrentLoads is how many loads the store serves at full speed.
	ConcurrentLoads int `koanf:"loadsAtOnce"`
	Adapters        int `koanf:"adapters"`
	AdapterCapacity int `koanf:"adapterCapacity"`
	// SharedTokens is the length of the prefix that all prompts of a model share.
	SharedTokens float64 `koanf:"sharedTokens"`
}

// Traffic is drawn as dialogues of several turns, or read from a record. Turns is the mean number
// of turns.
type Traffic struct {
	RatePerS     float64 `koanf:"perS"`
	BurstEveryS  float64 `koanf:"burstEveryS"`
	BurstLengthS float64 `koanf:"burstLengthS"`
	BurstFactor  float64 `koanf:"burstFactor"`
	Turns        float64 `koanf:"turns"`
	ThinkS       float64 `koanf:"thinkS"`
	Record       string  `koanf:"record"`
}

// LogNormal is a log-normal size in tokens, with an upper bound.
type LogNormal struct {
	Median float64 `koanf:"median"`
	Sigma  float64 `koanf:"sigma"`
	Max    float64 `koanf:"most"`
}

// Class is a kind of request, served by a route of the same name.
type Class struct {
	Name  string  `koanf:"name"`
	Share float64 `koanf:"share"`
	// LatencyTargetMs is the target for the first token.
	LatencyTargetMs float64 `koanf:"aimMs"`
	TimeoutMs       float64 `koanf:"timeoutMs"`
	// TokenGapMs is the longest gap between tokens that still counts as in time.
	TokenGapMs float64 `koanf:"tokenGapMs"`
	Priority   int     `koanf:"priority"`
	Resumable  bool    `koanf:"resumable"`
	RetryCount int     `koanf:"retryCount"`
	// Tries is how many attempts a client makes, RetryCount how many forwards an edge makes.
	Attempts       int       `koanf:"tries"`
	AllowedRegions []string  `koanf:"allowedRegions"`
	Prompt         LogNormal `koanf:"prompt"`
	Output         LogNormal `koanf:"output"`
}

// Loss takes down a zone or a region. BackS of 0 means never; Closed losses end connections instead
// of falling silent.
type Loss struct {
	Zone     string  `koanf:"zone"`
	Region   string  `koanf:"region"`
	AtS      float64 `koanf:"atS"`
	RestoreS float64 `koanf:"backS"`
	Closed   bool    `koanf:"closed"`
}

// Crash ends the replica of a machine, counted from 1. RestartS of 0 means never.
type Crash struct {
	AtS      float64 `koanf:"atS"`
	Replica  int     `koanf:"replica"`
	RestartS float64 `koanf:"restartS"`
}

// Slowdown lengthens a replica's steps by a factor for some time.
type Slowdown struct {
	AtS     float64 `koanf:"atS"`
	EndS    float64 `koanf:"backS"`
	Replica int     `koanf:"replica"`
	Factor  float64 `koanf:"factor"`
}

// Platform is the list's lag, how often it is read, and how long the platform needs to notice a
// dead replica (GoneS) or data plane (NoticeS), and a control plane to take over.
type Platform struct {
	LagMs               float64 `koanf:"lagMs"`
	RefreshMs           float64 `koanf:"refreshMs"`
	ReplicaDetectionS   float64 `koanf:"goneS"`
	DataPlaneDetectionS float64 `koanf:"noticeS"`
	TakeoverS           float64 `koanf:"takeoverS"`
}

// Placement is how the first copies are placed: spread over zones or packed, and the share of the
// capacity beyond the first copies that is filled.
type Placement struct {
	Copies    string  `koanf:"copies"`
	FillRatio float64 `koanf:"busyShare"`
}

const (
	// CopiesSpread places copies in the zones that have the fewest.
	CopiesSpread = "spread"
	// CopiesPacked places copies in the zones that have the most.
	CopiesPacked = "packed"
)

// Defaults is the scenario that a file's values override; it has no zones and no classes.
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
