package requestlog

import "ferryspar/internal/discovery"

// Kind says what an Entry is about. The values are on disk and stay as they are, so that older logs can be read.
type Kind string

// Kinds of entries.
const (
	// KindConfiguration is a configuration that the data plane adopted.
	KindConfiguration Kind = "layout"
	// KindFleet is a fleet that requests were routed by from then on.
	KindFleet Kind = "fleet"
	// KindRequest is a request of a client, written when it has ended.
	KindRequest Kind = "order"
)

// Entry is one line. Which fields are set depends on Kind; all times are in milliseconds.
type Entry struct {
	Kind Kind `json:"kind"`
	// AtMs counts from the start of the log: when the configuration or fleet came into use, or the request arrived.
	AtMs float64 `json:"atMs"`

	// PackedConfiguration is the document as configuration.Compress packs it, without keys.
	PackedConfiguration []byte `json:"packed,omitempty"`

	Replicas     []discovery.Replica `json:"replicas,omitempty"`
	DrainedZones []string            `json:"drained,omitempty"`
	// DataPlaneCount is the number of data planes that share the fleet's limits.
	DataPlaneCount int `json:"edges,omitempty"`
	// Zone is that of the data plane.
	Zone string `json:"area,omitempty"`

	AttemptID string `json:"attempt,omitempty"`
	Route     string `json:"route,omitempty"`
	Backend   string `json:"backend,omitempty"`
	Model     string `json:"model,omitempty"`
	Tenant    string `json:"tenant,omitempty"`
	// Prefix is the header that names the parts of the prompt.
	Prefix       string  `json:"prefix,omitempty"`
	PromptTokens float64 `json:"prompt,omitempty"`
	OutputTokens float64 `json:"output,omitempty"`
	// TimeoutMs is the time from the arrival to the deadline.
	TimeoutMs float64 `json:"leftMs,omitempty"`
	// QueuedMs, FirstByteMs and DurationMs are the times from the arrival to the sending, to the first byte of the response
	// and to its last; 0 if there was no response.
	QueuedMs    float64 `json:"waitedMs,omitempty"`
	FirstByteMs float64 `json:"firstMs,omitempty"`
	DurationMs  float64 `json:"tookMs,omitempty"`
	// Error is what the client was answered, empty for a replica's response.
	Error string `json:"problem,omitempty"`
}
