package drill

// Kinds of requests.
const (
	KindForecast = "forecast"
	KindDrill    = "drill"
)

// Request is what an operator asks for. Share, DurationMs (milliseconds) and Margin count for drills
// only, zero means the default. IdempotencyKey names the request, so that one sent again starts no second
// drill.
type Request struct {
	Kind string `json:"kind"`
	Scope
	Share          float64 `json:"share,omitempty"`
	DurationMs     int64   `json:"forMs,omitempty"`
	Margin         float64 `json:"margin,omitempty"`
	IdempotencyKey string  `json:"mark,omitempty"`
}
