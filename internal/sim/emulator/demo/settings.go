package demo

import (
	"path/filepath"

	"github.com/knadh/koanf/parsers/toml/v2"
)

// daemon is what tells one daemon's settings from another's. dataPath is its data folder, or empty
// if it has none.
type daemon struct {
	name     string
	host     string
	zone     string
	bind     map[string]any
	dataPath string
}

// settings is a daemon's settings file.
func (s *deployment) settings(one daemon) ([]byte, error) {
	zones := map[string]any{}
	for zone, region := range s.plan.Zones {
		zones[zone] = region
	}
	tree := map[string]any{
		"nodeName":       one.name,
		"ipAddress":      one.host,
		"zone":           one.zone,
		"region":         s.plan.Zones[one.zone],
		"bootstrap":      true,
		"internalPorts":  []int{s.internal, s.internal + len(s.plan.DataPlanes)},
		"seedNodes":      s.controls,
		"zones":          zones,
		"bindAddresses":  one.bind,
		"limits":         map[string]any{"cpuCores": 2},
		"faultTolerance": map[string]any{"machineLoss": len(s.controls) / 2},
		"timingBounds":   map[string]any{"graceS": 1.0, "retryBudgetRatio": 0.2, "retryBudgetSlack": 50.0},
		"cloudApi":       map[string]any{"address": s.platform, "ratePerS": 40.0, "maxLagMs": 200.0},
	}
	if one.dataPath != "" {
		tree["dataDir"] = filepath.Join(s.folder, one.dataPath)
	}
	return toml.Parser().Marshal(tree)
}
