// Package configuration parses, validates, patches and compresses the operator's configuration, and provides lookups in it.
//
// Storage and versioning are up to the control plane. Start reading at Configuration, then at Parse for input and Table for
// lookups. The JSON names are part of the operator's API. Parse and Decode must decode a document to the same Configuration,
// because data planes only decode.
package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

// The route types, which determine whether a request may be executed again after a failure.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Configuration is one revision of the routes, backends, limits and tenants.
type Configuration struct {
	// Revision is the revision number chosen by the operator, above 0.
	Revision int64     `json:"revision"`
	Routes   []Route   `json:"routeTable"`
	Backends []Backend `json:"backends"`
	Limits   Limits    `json:"limits"`
	// Tenants is nil if requests need no API key. An empty list allows only public routes.
	Tenants []Tenant `json:"tenants,omitzero"`
}

// Route maps a host and path prefix to backends, with the limits of its requests.
type Route struct {
	Name     string `json:"name"`
	Hostname string `json:"hostname"`
	// PathPrefix starts and ends with a slash. The longest matching prefix wins.
	PathPrefix string `json:"pathPrefix"`
	// RouteType is Idempotent, NonIdempotent or Streaming.
	RouteType string `json:"routeType"`
	// TimeoutMs is the timeout of a request in ms, above 0.
	TimeoutMs float64 `json:"timeoutMs"`
	// TargetLatencyMs is the target latency of the first event in ms; 0 for none.
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	// Priority of the requests; 0 is the highest.
	Priority int `json:"priority"`
	// Backend receives all requests if TrafficSplit is empty.
	Backend      string  `json:"backend"`
	TrafficSplit []Split `json:"trafficSplit"`
	// RetryCount is the maximum number of replicas that a request is sent to; 0 counts as 1.
	RetryCount int `json:"retryCount"`
	// Sticky marks routes whose requests name a model and the parts of their prompts. Informational: every such request is
	// routed by cached prefix.
	Sticky bool `json:"sticky"`
	// Resumable streams can continue on another replica after Last-Event-Id.
	Resumable bool `json:"resumable"`
	// TokenGapMs is the longest gap between two events of a stream in ms; 0 for no limit.
	TokenGapMs float64 `json:"tokenGapMs"`
	// AllowedRegions are the regions whose replicas may serve requests; empty for all.
	AllowedRegions []string `json:"allowedRegions"`
	// Public routes accept requests without an API key.
	Public bool `json:"public"`
}

// Split is the weight of one backend in a route's traffic split.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Backend is a set of identical replicas, with the limits of each.
type Backend struct {
	Name string `json:"name"`
	// HealthPath is the URL path of health checks.
	HealthPath string `json:"healthPath"`
	// MaxConns is the maximum number of connections to a replica from all data planes together.
	MaxConns int `json:"maxConns"`
	// ColdStartS is the warm-up time of a replica after its start, in seconds. ColdPerS is the maximum request rate, per second
	// and from all data planes together, to a replica that is warming up.
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
	// Runtime is nil if the replicas load no models.
	Runtime *Runtime `json:"runtime"`
	// Autoscale is nil if the number of replicas is not controlled by the autoscaler.
	Autoscale *Autoscale `json:"autoscale,omitempty"`
}

// Autoscale bounds the number of replicas of a backend in each zone.
type Autoscale struct {
	MinReplicas int `json:"minReplicas"`
	MaxReplicas int `json:"maxReplicas"`
	// BootTimeS is the time in seconds until a new replica serves requests.
	BootTimeS float64 `json:"bootTimeS"`
}

// Runtime describes the capacity of each replica of a backend and the models it may load.
type Runtime struct {
	// Slots is the number of requests that a replica runs concurrently.
	Slots int `json:"slots"`
	// KvCacheTokens is the KV cache capacity for running requests in tokens; 0 for no limit.
	KvCacheTokens float64 `json:"kvCacheTokens"`
	// KvTokenBytes is the size of a token in the KV cache in bytes. LinkMbps is the bandwidth in Mbit/s at which a replica
	// fetches KV cache from another; 0 for no limit.
	KvTokenBytes float64 `json:"kvTokenBytes"`
	LinkMbps     float64 `json:"linkMbps,omitzero"`
	// StepSize is informational.
	StepSize float64 `json:"stepSize"`
	// PrefixHoldS is how long, in seconds, a prefill replica holds the KV cache of a prompt for a decode replica.
	PrefixHoldS float64 `json:"prefixHoldS,omitzero"`
	// SwapTimeS is the time in seconds that a replica takes to change its phase once its running requests have ended.
	SwapTimeS float64 `json:"swapTimeS,omitzero"`
	// Models are the models that may be loaded.
	Models []Model `json:"modelList"`
	// WeightSizeMb is the memory for model and adapter weights in MB.
	WeightSizeMb float64 `json:"weightSizeMb"`
	// AdapterCapacity is the maximum number of adapters loaded at once.
	AdapterCapacity int `json:"adapterCapacity"`
	// LoadsPerS is the rate limit of the backend's model store, in loads per second over all replicas.
	LoadsPerS float64 `json:"loadsPerS"`
}

// Model is a model that replicas of a backend may load.
type Model struct {
	Name string `json:"name"`
	// WeightSizeMb is the memory that the model occupies in MB.
	WeightSizeMb float64 `json:"weightSizeMb"`
	// LoadTimeS is the time to load the model from the model store in seconds.
	LoadTimeS float64 `json:"loadTimeS"`
	// Adapters is the number of adapters, which are named a1, a2 and so on.
	Adapters int `json:"adapterList"`
	// AdapterSizeMb is the memory that each adapter occupies in MB.
	AdapterSizeMb float64 `json:"adapterSizeMb"`
}

// Limits are the limits of client requests: sizes in bytes, times in ms.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// IsIdempotent reports whether a request may be sent to a second replica although the first may have executed it.
func (r Route) IsIdempotent() bool {
	return r.RouteType == Idempotent || r.RouteType == Streaming && r.Resumable
}

// Splits returns TrafficSplit, or a single split for Backend if it is empty.
func (r Route) Splits() []Split {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Split{{Backend: r.Backend, Weight: 1}}
}

// Parse parses and validates a complete configuration sent by an operator. Errors are of kind apierror.InvalidConfiguration.
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

// jsonSpace contains the whitespace characters of JSON.
const jsonSpace = " \t\r\n"

// hasRevision reports whether a JSON object has a revision member, whatever its value.
func hasRevision(document []byte) bool {
	members := map[string]json.RawMessage{}
	_ = json.Unmarshal(document, &members)
	_, stated := members[revisionSection]
	return stated
}

// decodeError returns an error that names the field that cannot be decoded, but not its content, which may be an API key.
func decodeError(err error) error {
	field := "configuration"
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		field = wrongType.Field
	}
	return apierror.New(apierror.InvalidConfiguration, "%s cannot be read", field)
}

// Decode decodes a configuration that was validated before.
func Decode(document []byte) (Configuration, error) {
	var decoded Configuration
	if err := json.Unmarshal(document, &decoded); err != nil {
		return decoded, decodeError(err)
	}
	return decoded, nil
}
