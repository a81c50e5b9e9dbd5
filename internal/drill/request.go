// Package drill holds the messages and the pure decisions of rehearsing the loss of a zone or
// region: the forecast of what a loss would do, and the drill, which keeps a share of real
// requests away from the scope for a while.
//
// It sends and stores nothing and reads no clock: data planes measure (internal/routing), the
// control plane asks them and keeps the record (internal/controlplane). Start reading at Request,
// then Merge for the forecast and CheckGuard for the drill.
package drill

// Kinds of requests.
const (
	KindForecast = "forecast"
	KindDrill    = "drill"
)

// Request is what an operator asks for. Share, ForMs (milliseconds) and Margin count for drills
// only, zero means the default. Mark names the request, so that one sent again starts no second
// drill.
type Request struct {
	Kind string `json:"kind"`
	Scope
	Share          float64 `json:"share,omitempty"`
	ForMs          int64   `json:"forMs,omitempty"`
	Margin         float64 `json:"margin,omitempty"`
	IdempotencyKey string  `json:"mark,omitempty"`
}
