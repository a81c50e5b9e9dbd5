// Package configuration parses, checks, patches and compresses the operator's configuration, and answers
// look-ups in it.
//
// It keeps nothing on disk and decides nothing about versions: that is the control plane's. Start reading at
// Configuration, then Parse for the way in and Table for the way it is used. The JSON names are the
// operator's API; Parse and Decode must read the same document alike, since data planes only decode.
package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

// The types of routes: whether a request may be executed again after a failure.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Configuration is one version of what may be served.
type Configuration struct {
	// Revision is the operator's number of the version, above 0.
	Revision int64     `json:"revision"`
	Routes   []Route   `json:"routeTable"`
	Backends []Backend `json:"backends"`
	Limits   Limits    `json:"limits"`
	// Tenants is nil if no request needs a key. An empty list allows only public routes.
	Tenants []Tenant `json:"tenants,omitzero"`
}

// Route maps a host and path prefix to backends, with the limits that its requests must keep.
type Route struct {
	Name     string `json:"name"`
	Hostname string `json:"hostname"`
	// PathPrefix starts and ends with a slash. The longest matching prefix wins.
	PathPrefix string `json:"pathPrefix"`
	// RouteType is Idempotent, NonIdempotent or Streaming.
	RouteType string `json:"routeType"`
	// TimeoutMs is the time for a whole request in ms, above 0.
	TimeoutMs float64 `json:"timeoutMs"`
	// TargetLatencyMs is the latency target for the first event in ms; 0 for none.
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	// Priority of the requests; 0 is the highest.
	Priority int `json:"priority"`
	// Backend gets all requests if TrafficSplit is empty.
	Backend      string  `json:"backend"`
	TrafficSplit []Split `json:"trafficSplit"`
	// RetryCount is how many replicas a request may be sent to; 0 counts as 1.
	RetryCount int `json:"retryCount"`
	// Sticky marks routes whose requests name a model and the parts of their prompts. Informational: every
	// request that does is routed by its cached prefix.
	Sticky bool `json:"sticky"`
	// Resumable streams continue at Last-Event-Id on another replica.
	Resumable bool `json:"resumable"`
	// TokenGapMs is the longest gap between two events of a stream in ms; 0 for no limit.
	TokenGapMs float64 `json:"tokenGapMs"`
	// AllowedRegions are the regions whose replicas may serve; empty for all.
	AllowedRegions []string `json:"allowedRegions"`
	// Public routes accept requests without a key.
	Public bool `json:"public"`
}

// Split is one backend's share of a route's traffic, relative to the other weights.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Backend is a service: a set of identical replicas and the limits of each of them.
type Backend struct {
	Name string `json:"name"`
	// HealthPath is the path of health checks.
	HealthPath string `json:"healthPath"`
	// MaxConns is the limit of connections to a replica, from all data planes together.
	MaxConns int `json:"maxConns"`
	// ColdStartS is how long a replica warms up after its start in seconds, and ColdPerS the requests per
	// second it takes until then, from all data planes together.
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
	// Runtime is nil if the replicas load no models.
	Runtime *Runtime `json:"runtime"`
	// Autoscale is nil if the number of replicas is not ours to order.
	Autoscale *Autoscale `json:"autoscale,omitempty"`
}

// Autoscale bounds how many replicas of a backend may be ordered in each zone.
type Autoscale struct {
	MinReplicas int `json:"minReplicas"`
	MaxReplicas int `json:"maxReplicas"`
	// BootTimeS is how long a new replica takes before it serves, in seconds.
	BootTimeS float64 `json:"bootTimeS"`
}

// Runtime is what each replica of a backend can load and run.
type Runtime struct {
	// Slots is how many requests a replica runs at once.
	Slots int `json:"slots"`
	// KvCacheTokens is the KV memory for running requests in tokens; 0 for no limit.
	KvCacheTokens float64 `json:"kvCacheTokens"`
	// KvTokenBytes is the size of a token in KV memory in bytes, LinkMbps the bandwidth at which a replica fetches memory of
	// another in Mbit/s; 0 for no limit.
	KvTokenBytes float64 `json:"kvTokenBytes"`
	LinkMbps     float64 `json:"linkMbps,omitzero"`
	// StepSize is informational.
	StepSize float64 `json:"stepSize"`
	// PrefixHoldS is how long in seconds a prefill replica holds the memory of a prompt for a decode replica.
	PrefixHoldS float64 `json:"prefixHoldS,omitzero"`
	// SwapTimeS is how long in seconds a replica takes to change its phase, after what it runs has ended.
	SwapTimeS float64 `json:"swapTimeS,omitzero"`
	// Models are those that may be loaded.
	Models []Model `json:"modelList"`
	// WeightSizeMb is the memory for weights of models and adapters in MB.
	WeightSizeMb float64 `json:"weightSizeMb"`
	// AdapterCapacity is how many adapters may be loaded at once.
	AdapterCapacity int `json:"adapterCapacity"`
	// LoadsPerS is how many loads per second the backend's model store allows, over all replicas.
	LoadsPerS float64 `json:"loadsPerS"`
}

// Model is a model that replicas of a backend may load.
type Model struct {
	Name string `json:"name"`
	// WeightSizeMb is the memory it takes in MB.
	WeightSizeMb float64 `json:"weightSizeMb"`
	// LoadTimeS is the time of a load from the model store in seconds.
	LoadTimeS float64 `json:"loadTimeS"`
	// Adapters is a count; the adapters have the names a1, a2 and so on.
	Adapters int `json:"adapterList"`
	// AdapterSizeMb is the memory that each adapter takes in MB.
	AdapterSizeMb float64 `json:"adapterSizeMb"`
}

// Limits are what clients may send: sizes in bytes, times in ms.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// IsIdempotent reports whether a request may be sent to a second replica after the first may have executed
// it.
func (r Route) IsIdempotent() bool {
	return r.RouteType == Idempotent || r.RouteType == Streaming && r.Resumable
}

// Splits returns the traffic split, with the single backend as its only element if there is none.
func (r Route) Splits() []Split {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Split{{Backend: r.Backend, Weight: 1}}
}

// Parse parses and checks a complete configuration as an operator sends it. Errors are of kind
// apierror.InvalidConfiguration.
func Parse(document []byte) (Configuration, error) {
	if !json.Valid(document) {
		return Configuration{}, invalid("not whole JSON")
	}
	if !bytes.HasPrefix(bytes.TrimLeft(document, jsonSpace), []byte("{")) {
		return Configuration{}, invalid("not a JSON object")
	}
	decoded, err := Decode(document)
	if err != nil {
		return decoded, err
	}
	if decoded.Revision == 0 && !hasRevision(document) {
		return decoded, invalid("revision is missing")
	}
	return decoded, decoded.Validate()
}

// jsonSpace are the characters that JSON allows between its tokens.
const jsonSpace = " \t\r\n"

// hasRevision says whether a JSON object states a revision, whatever its value.
func hasRevision(document []byte) bool {
	members := map[string]json.RawMessage{}
	_ = json.Unmarshal(document, &members)
	_, stated := members[revisionSection]
	return stated
}

// decodeError names the field of a configuration that data planes could not decode, and nothing of its
// content: that may be a key.
func decodeError(err error) error {
	field := "configuration"
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		field = wrongType.Field
	}
	return apierror.New(apierror.InvalidConfiguration, "%s cannot be read", field)
}

// Decode parses a configuration that was accepted before, without checks.
func Decode(document []byte) (Configuration, error) {
	var decoded Configuration
	if err := json.Unmarshal(document, &decoded); err != nil {
		return decoded, decodeError(err)
	}
	return decoded, nil
}
