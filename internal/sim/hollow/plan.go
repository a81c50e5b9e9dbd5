package hollow

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
)

// Plan holds the size and the load of a fleet.
type Plan struct {
	DataPlanes       int     `json:"data"`
	Members          int     `json:"members"`
	Replicas         int     `json:"replicas"`
	Models           int     `json:"models"`
	Adapters         int     `json:"adapters"`
	Routes           int     `json:"routes"`
	ModelsPerReplica int     `json:"resident"`
	Slots            int     `json:"slots"`
	RequestsPerS     float64 `json:"ordersPerS"`
	// StreamLength is the duration of a stream.
	StreamLength time.Duration `json:"holdNs"`
	Events       int           `json:"events"`
	Tokens       int           `json:"tokens"`
	// Octet is the second octet of the loopback network of the run.
	Octet      int `json:"octet"`
	Processors int `json:"processors"`
	// Processes is the number of processes that share the data planes. Each may use up to Processors processors.
	Processes int    `json:"processes"`
	Directory string `json:"-"`
}

// FullSize is the size of a full fleet, from which smaller fleets are scaled.
type FullSize struct {
	DataPlanes, Replicas, Models, Adapters, Routes int
}

// Scaled returns a plan with the given number of data planes and the other numbers in proportion, but at least 4 each.
func (s FullSize) Scaled(dataPlanes int) Plan {
	part := func(whole int) int { return max((whole*dataPlanes+s.DataPlanes/2)/s.DataPlanes, 4) }
	return Plan{
		DataPlanes: dataPlanes,
		Replicas:   part(s.Replicas),
		Models:     part(s.Models),
		Adapters:   part(s.Adapters),
		Routes:     part(s.Routes),
	}
}

// Check validates the plan. The error lists everything that is invalid.
func (p Plan) Check() error {
	checks := []struct {
		wrong   bool
		message string
	}{
		{p.DataPlanes < 1 || p.DataPlanes > 1000, "data planes must be 1 to 1000"},
		{p.Members != 3 && p.Members != 5, "members must be 3 or 5"},
		{p.Replicas < 1 || p.Replicas > 4000, "replicas must be 1 to 4000"},
		{p.Models < 1 || p.Models > 20000, "models must be 1 to 20000"},
		{
			p.ModelsPerReplica < 1 || p.Slots < 1 || p.Events < 1 || p.Tokens < 1,
			"models a replica, slots, events and tokens must be above 0",
		},
		{p.Routes < 1 || p.Adapters < 0, "routes must be above 0, adapters at least 0"},
		{p.RequestsPerS < 0 || p.RequestsPerS > 200, "orders a second must be 0 to 200"},
		{p.StreamLength < 0 || p.StreamLength > time.Minute, "a stream may last a minute at most"},
		{p.Processors < 1 || p.Processes < 1 || p.Processes > 32, "processors must be above 0, processes 1 to 32"},
	}
	var wrong []string
	for _, check := range checks {
		if check.wrong {
			wrong = append(wrong, check.message)
		}
	}
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

// settings returns the settings of the node on a host.
func (p Plan) settings(host string) (nodesettings.Settings, error) {
	settings, err := nodesettings.Parse(nil)
	if err != nil {
		return settings, err
	}
	settings.NodeName = "node-" + host
	settings.IPAddress = host
	settings.Bootstrap = true
	settings.Zones = regions
	settings.Zone = p.zoneOf(host)
	settings.Region = p.regionOf(host)
	settings.InternalPorts = []int{peerPort, peerPort + 10}
	for index := range p.Members {
		settings.SeedNodes = append(settings.SeedNodes, p.address(p.memberHost(index), controlPort))
	}
	settings.DataDir = "given"
	settings.Limits.CPUCores = 1
	settings.FaultTolerance.MachineLoss = (p.Members - 1) / 2
	settings.BindAddresses = nodesettings.BindAddresses{
		DataPlane:    p.address(host, dataPort),
		Readiness:    p.address(host, readyPort),
		ControlPlane: p.address(host, controlPort),
	}
	settings.CloudAPI = nodesettings.CloudAPI{Address: p.listAddress(), RatePerS: 40, MaxLagMs: 100}
	settings.TimingBounds.RetryBudgetRatio = 0.2
	settings.TimingBounds.RetryBudgetSlack = 50
	return settings, nil
}

// modelName returns the name of a model.
func modelName(index int) string { return fmt.Sprintf("model%04d", index) }

// adaptersOf returns the number of adapters of a model. Only models with an even index have adapters.
func (p Plan) adaptersOf(model int) int {
	modelsWithAdapters := (p.Models + 1) / 2
	if model%2 == 1 {
		return 0
	}
	share := p.Adapters / modelsWithAdapters
	if model/2 < p.Adapters%modelsWithAdapters {
		share++
	}
	return share
}

// route returns a route of the given name and path prefix.
func route(name, prefix string) configuration.Route {
	return configuration.Route{
		Name:            name,
		Hostname:        routeHostname,
		PathPrefix:      prefix,
		RouteType:       configuration.Streaming,
		TimeoutMs:       30000,
		TargetLatencyMs: 1900,
		Priority:        1,
		Backend:         backendName,
		RetryCount:      2,
		Sticky:          true,
		Resumable:       true,
		TokenGapMs:      2000,
	}
}

// document returns the initial configuration.
func (p Plan) document(revision int64) ([]byte, error) {
	document := configuration.Configuration{
		Revision: revision,
		Limits: configuration.Limits{
			MaxHeaderBytes:  16384,
			MaxBodyBytes:    1 << 20,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
		},
	}
	for index := range p.Routes {
		document.Routes = append(document.Routes, route(fmt.Sprintf("r-%04d", index), fmt.Sprintf("/tell%04d/", index)))
	}
	backend := configuration.Backend{
		Name:       backendName,
		HealthPath: "/healthz",
		MaxConns:   4 * p.Slots,
		ColdStartS: 3,
		ColdPerS:   12,
	}
	backend.Runtime = &configuration.Runtime{
		Slots:           p.Slots,
		KvCacheTokens:   114820,
		KvTokenBytes:    163840,
		StepSize:        3,
		WeightSizeMb:    float64(p.ModelsPerReplica)*70000 + 5000,
		AdapterCapacity: 8,
		LoadsPerS:       1,
	}
	for index := range p.Models {
		backend.Runtime.Models = append(backend.Runtime.Models, configuration.Model{
			Name:          modelName(index),
			WeightSizeMb:  65000,
			LoadTimeS:     5,
			Adapters:      p.adaptersOf(index),
			AdapterSizeMb: 12,
		})
	}
	document.Backends = append(document.Backends, backend)
	return json.Marshal(document)
}

// patch is a partial configuration change.
type patch struct {
	Revision int64          `json:"revision"`
	Upsert   map[string]any `json:"upsert"`
	Remove   map[string]any `json:"remove,omitempty"`
}

// probePath returns the path prefix of the probe route of a revision.
func probePath(revision int64) string { return fmt.Sprintf("/probe%d/", revision) }

// patchDocument returns a patch that adds the probe route of a revision and removes that of the previous revision.
func patchDocument(revision, before int64) ([]byte, error) {
	change := patch{
		Revision: revision,
		Upsert:   map[string]any{"routeTable": []configuration.Route{route(fmt.Sprintf("probe-%d", revision), probePath(revision))}},
	}
	if before > 1 {
		change.Remove = map[string]any{"routeTable": []string{fmt.Sprintf("probe-%d", before)}}
	}
	return json.Marshal(change)
}
