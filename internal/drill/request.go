package drill

// Kinds of requests.
const (
	KindForecast = "forecast"
	KindDrill    = "drill"
)

// Request is an operator's request. Share, DurationMs and Margin apply to drills only; zero means the
// default. IdempotencyKey identifies the request, so that resending it doesn't start a second drill.
type Request struct {
	Kind string `json:"kind"`
	Scope
	Share          float64 `json:"share,omitempty"`
	DurationMs     int64   `json:"forMs,omitempty"`
	Margin         float64 `json:"margin,omitempty"`
	IdempotencyKey string  `json:"mark,omitempty"`
}
