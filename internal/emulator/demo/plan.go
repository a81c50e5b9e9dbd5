package demo

import (
	_ "embed"
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/layout"
)

//go:embed configuration.json
var configuration []byte

//go:embed fleet.json
var fleetFile []byte

type plannedReplica struct {
	ID     string   `json:"id"`
	Area   string   `json:"zone"`
	Models []string `json:"models"`
}

type stream struct {
	Path   string  `json:"path"`
	Model  string  `json:"model"`
	Prompt float64 `json:"prompt"`
	Output int     `json:"output"`
	Prefix string  `json:"prefix"`
}

type plan struct {
	Areas      map[string]string `json:"zones"`
	Replicas   []plannedReplica  `json:"replicas"`
	DataPlanes []string          `json:"dataPlanes"`
	Streams    []stream          `json:"streams"`
	layout     layout.Layout
}

func readPlan() (plan, error) {
	var read plan
	if err := json.Unmarshal(fleetFile, &read); err != nil {
		return read, errors.Wrap(err, "embedded fleet")
	}
	source, err := layout.Read(configuration)
	read.layout = source
	return read, errors.Wrap(err, "embedded configuration")
}
