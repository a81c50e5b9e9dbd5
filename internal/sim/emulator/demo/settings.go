package demo

import (
	"path/filepath"

	"github.com/knadh/koanf/parsers/toml/v2"
)

// daemon holds the settings that differ between daemons. dataPath is the data folder, or empty if the daemon
// has none.
type daemon struct {
	name     string
	host     string
	zone     string
	bind     map[string]any
	dataPath string
}

// settings returns a daemon's settings file in TOML.
func (d *deployment) settings(node daemon) ([]byte, error) {
	zones := map[string]any{}
	for zone, region := range d.plan.Zones {
		zones[zone] = region
	}
	tree := map[string]any{
		"nodeName":       node.name,
		"ipAddress":      node.host,
		"zone":           node.zone,
		"region":         d.plan.Zones[node.zone],
		"bootstrap":      true,
		"internalPorts":  []int{d.internalPort, d.internalPort + len(d.plan.DataPlanes)},
		"seedNodes":      d.controls,
		"zones":          zones,
		"bindAddresses":  node.bind,
		"limits":         map[string]any{"cpuCores": 2},
		"faultTolerance": map[string]any{"machineLoss": len(d.controls) / 2},
		"timingBounds":   map[string]any{"graceS": 1.0, "retryBudgetRatio": 0.2, "retryBudgetSlack": 50.0},
		"cloudApi":       map[string]any{"address": d.platform, "ratePerS": 40.0, "maxLagMs": 200.0},
	}
	if node.dataPath != "" {
		tree["dataDir"] = filepath.Join(d.folder, node.dataPath)
	}
	return toml.Parser().Marshal(tree)
}
