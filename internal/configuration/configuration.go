// Package configuration reads, checks, patches and packs the operator's configuration, and answers
// look-ups in it.
//
// It keeps nothing on disk and decides nothing about versions: that is the control plane's. Start
// reading at Configuration, then Parse for the way in and Table for the way it is used.
package configuration

import (
	"encoding/json"

	jsonparser "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

// The types of routes: whether a request may be sent again after a failure.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Configuration is one version of what may be served.
type Configuration struct {
	Revision int64     `json:"revision" koanf:"revision"`
	Routes   []Route   `json:"routeTable" koanf:"routeTable"`
	Backends []Backend `json:"backends" koanf:"backends"`
	Limits   Limits    `json:"limits" koanf:"limits"`
	// Tenants is nil where no request needs a key. An empty list lets only public routes be used.
	Tenants []Tenant `json:"tenants,omitzero" koanf:"-"`
}

// Route maps a host and path prefix to backends, with the bounds its requests must keep. Times are
// milliseconds.
type Route struct {
	Name            string   `json:"name" koanf:"name"`
	Hostname        string   `json:"hostname" koanf:"hostname"`
	PathPrefix      string   `json:"pathPrefix" koanf:"pathPrefix"`
	RouteType       string   `json:"routeType" koanf:"routeType"`
	TimeoutMs       float64  `json:"timeoutMs" koanf:"timeoutMs"`
	TargetLatencyMs float64  `json:"targetLatencyMs" koanf:"targetLatencyMs"`
	Priority        int      `json:"priority" koanf:"priority"`
	Backend         string   `json:"backend" koanf:"backend"`
	TrafficSplit    []Split  `json:"trafficSplit" koanf:"trafficSplit"`
	RetryCount      int      `json:"retryCount" koanf:"retryCount"`
	Sticky          bool     `json:"sticky" koanf:"sticky"`
	Resumable       bool     `json:"resumable" koanf:"resumable"`
	TokenGapMs      float64  `json:"tokenGapMs" koanf:"tokenGapMs"`
	AllowedRegions  []string `json:"allowedRegions" koanf:"allowedRegions"`
	// Public routes take requests without a key.
	Public bool `json:"public" koanf:"public"`
}

// Split is one backend's part of a route's traffic, relative to the other weights.
type Split struct {
	Backend string  `json:"backend" koanf:"backend"`
	Weight  float64 `json:"weight" koanf:"weight"`
}

// Backend is a service: a set of alike replicas and the limits that hold for each of them.
type Backend struct {
	Name       string   `json:"name" koanf:"name"`
	HealthPath string   `json:"healthPath" koanf:"healthPath"`
	MaxConns   int      `json:"maxConns" koanf:"maxConns"`
	ColdStartS float64  `json:"coldStartS" koanf:"coldStartS"`
	ColdPerS   float64  `json:"coldPerS" koanf:"coldPerS"`
	Runtime    *Runtime `json:"runtime" koanf:"runtime"`
}

// Runtime is what the replicas of a backend can hold. KvCacheTokens is the room for running
// requests in tokens, LoadsPerS the loads that the backend's store takes a second.
type Runtime struct {
	Slots           int     `json:"slots" koanf:"slots"`
	KvCacheTokens   float64 `json:"kvCacheTokens" koanf:"kvCacheTokens"`
	KvTokenBytes    float64 `json:"kvTokenBytes" koanf:"kvTokenBytes"`
	StepSize        float64 `json:"stepSize" koanf:"stepSize"`
	Models          []Model `json:"modelList" koanf:"modelList"`
	WeightSizeMb    float64 `json:"weightSizeMb" koanf:"weightSizeMb"`
	AdapterCapacity int     `json:"adapterCapacity" koanf:"adapterCapacity"`
	LoadsPerS       float64 `json:"loadsPerS" koanf:"loadsPerS"`
}

// Model is a model that replicas of a backend may load. Adapters is a count: the adapters are
// parseNamedItems a1, a2 and so on.
type Model struct {
	Name          string  `json:"name" koanf:"name"`
	WeightSizeMb  float64 `json:"weightSizeMb" koanf:"weightSizeMb"`
	LoadTimeS     float64 `json:"loadTimeS" koanf:"loadTimeS"`
	Adapters      int     `json:"adapterList" koanf:"adapterList"`
	AdapterSizeMb float64 `json:"adapterSizeMb" koanf:"adapterSizeMb"`
}

// Limits bounds what clients may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes" koanf:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes" koanf:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs" koanf:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs" koanf:"idleTimeoutMs"`
}

// Repeatable tells whether a request may be sent to a second replica after the first may have run
// it.
func (r Route) IsIdempotent() bool {
	return r.RouteType == Idempotent || r.RouteType == Streaming && r.Resumable
}

// Splits returns the traffic split, with the single backend as its only part where there is none.
func (r Route) Splits() []Split {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Split{{Backend: r.Backend, Weight: 1}}
}

// Parse parses and checks a whole configuration as an operator sends it. Errors are of kind
// apierror.InvalidConfiguration.
func Parse(document []byte) (Configuration, error) {
	var parsed Configuration
	if !json.Valid(document) {
		return parsed, apierror.New(apierror.InvalidConfiguration, "not whole JSON")
	}
	tree := koanf.New("\x00")
	if err := tree.Load(rawbytes.Provider(document), jsonparser.Parser()); err != nil {
		return parsed, apierror.New(apierror.InvalidConfiguration, "not a JSON object")
	}
	if !tree.Exists("revision") {
		return parsed, apierror.New(apierror.InvalidConfiguration, "revision is missing")
	}
	if err := tree.Unmarshal("", &parsed); err != nil {
		return parsed, apierror.New(apierror.InvalidConfiguration, "%s", err.Error())
	}
	decoded, err := Decode(document)
	if err != nil {
		return parsed, err
	}
	parsed.Tenants = decoded.Tenants
	return parsed, parsed.Check()
}

// decodeError names the part of a configuration that data planes could not decode, and nothing of its content: that
// may be a key.
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
