package demo

import (
	_ "embed"
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
)

//go:embed configuration.json
var embeddedConfiguration []byte

//go:embed fleet.json
var fleetFile []byte

// plannedReplica describes a stand-in replica of the plan.
type plannedReplica struct {
	ID     string   `json:"id"`
	Zone   string   `json:"zone"`
	Models []string `json:"models"`
}

// stream describes a request of the plan.
type stream struct {
	Path   string  `json:"path"`
	Model  string  `json:"model"`
	Prompt float64 `json:"prompt"`
	Output int     `json:"output"`
	Prefix string  `json:"prefix"`
}

// plan describes the demo's fleet and streams, read from the files embedded in the program.
type plan struct {
	Zones         map[string]string `json:"zones"`
	Replicas      []plannedReplica  `json:"replicas"`
	DataPlanes    []string          `json:"dataPlanes"`
	Streams       []stream          `json:"streams"`
	configuration configuration.Configuration
}

// readPlan parses the embedded fleet and configuration.
func readPlan() (plan, error) {
	var read plan
	if err := json.Unmarshal(fleetFile, &read); err != nil {
		return read, errors.Wrap(err, "embedded fleet")
	}
	source, err := configuration.Parse(embeddedConfiguration)
	read.configuration = source
	return read, errors.Wrap(err, "embedded configuration")
}
