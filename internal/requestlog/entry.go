package requestlog

import "ferryspar/internal/discovery"

// Kind is the kind of an Entry. Its values must not change, so that older logs can be read.
type Kind string

// The kinds of entries.
const (
	// KindConfiguration records that the data plane adopted a configuration.
	KindConfiguration Kind = "layout"
	// KindFleet records the state of the fleet by which requests are routed from then on.
	KindFleet Kind = "fleet"
	// KindRequest records a client's request, when it has ended.
	KindRequest Kind = "order"
)

// Entry is one line of the log. Kind determines which fields are set. All times are in milliseconds.
type Entry struct {
	Kind Kind `json:"kind"`
	// AtMs is when the configuration or fleet was adopted, or the request arrived, counted from the start of the log.
	AtMs float64 `json:"atMs"`

	// PackedConfiguration is the configuration, without keys, as compressed by configuration.Compress.
	PackedConfiguration []byte `json:"packed,omitempty"`

	Replicas     []discovery.Replica `json:"replicas,omitempty"`
	DrainedZones []string            `json:"drained,omitempty"`
	// DataPlaneCount is the number of data planes that share the limits of the fleet.
	DataPlaneCount int `json:"edges,omitempty"`
	// Zone is the zone of the data plane.
	Zone string `json:"area,omitempty"`

	AttemptID string `json:"attempt,omitempty"`
	Route     string `json:"route,omitempty"`
	Backend   string `json:"backend,omitempty"`
	Model     string `json:"model,omitempty"`
	Tenant    string `json:"tenant,omitempty"`
	// Prefix is the value of the header that lists the parts of the prompt.
	Prefix       string  `json:"prefix,omitempty"`
	PromptTokens float64 `json:"prompt,omitempty"`
	OutputTokens float64 `json:"output,omitempty"`
	// TimeoutMs is the time from arrival to the deadline.
	TimeoutMs float64 `json:"leftMs,omitempty"`
	// QueuedMs, FirstByteMs and DurationMs are the times from arrival until the request was sent, the first byte of the response
	// and its last byte; 0 if there was no response.
	QueuedMs    float64 `json:"waitedMs,omitempty"`
	FirstByteMs float64 `json:"firstMs,omitempty"`
	DurationMs  float64 `json:"tookMs,omitempty"`
	// Error is the error that the client received, empty if it received a replica's response.
	Error string `json:"problem,omitempty"`
}
