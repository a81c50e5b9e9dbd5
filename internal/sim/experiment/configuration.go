// Package experiment plays variants of an emulated fleet over several seeds, sums them up as
// tables, JSON and plots, and compares forecasts of a loss with the emulated loss. All its figures
// are emulated. It never runs a daemon nor opens a connection; it writes only into the folder that
// it is given. Start reading at Load, Run and Summarize; CompareForecasts for forecasts.
package experiment

import (
	"os"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/pkg/errors"

	"ferryspar/internal/sim/emulator"
)

// Configuration is an experiment as its file gives it. Variants change parts of the scenario; Scenarios
// are the scenarios that result, in the variants' sequence.
type Configuration struct {
	Name        string `koanf:"name"`
	Description string `koanf:"about"`
	Seeds       int    `koanf:"seeds"`
	FirstSeed   uint64 `koanf:"firstSeed"`
	// AfterS is how many seconds after the loss its period lasts.
	AfterS float64 `koanf:"afterS"`
	// InFlightS is how many seconds before the loss requests count as caught by it.
	InFlightS float64             `koanf:"flightS"`
	Scenario  map[string]any      `koanf:"scenario"`
	Variants  []Variant           `koanf:"variants"`
	Scenarios []emulator.Scenario `koanf:"-"`
}

// Variant names values of the scenario that it sets otherwise, by dotted key.
type Variant struct {
	Name      string         `koanf:"name"`
	Overrides map[string]any `koanf:"set"`
}

const (
	// mostSeeds bounds the number of seeds.
	mostSeeds     = 1000
	defaultSeeds  = 10
	defaultAfter  = 30
	defaultFlight = 15
)

// Load reads an experiment's file and checks it.
func Load(path string) (Configuration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Configuration{}, errors.Wrap(err, "experiment")
	}
	read, err := Parse(content)
	return read, errors.Wrap(err, path)
}

// Parse reads an experiment in TOML and builds its variants; an error says what is wrong.
func Parse(content []byte) (Configuration, error) {
	read := Configuration{Seeds: defaultSeeds, FirstSeed: 1, AfterS: defaultAfter, InFlightS: defaultFlight}
	tree := koanf.New(".")
	if err := tree.Load(rawbytes.Provider(content), toml.Parser()); err != nil {
		return read, errors.Wrap(err, "cannot be read")
	}
	if err := decode(tree, &read, "the file"); err != nil {
		return read, err
	}
	if read.Name == "" {
		return read, errors.New("name is missing")
	}
	if read.Seeds < 1 || read.Seeds > mostSeeds {
		return read, errors.Errorf("seeds must lie between 1 and %d", mostSeeds)
	}
	if read.AfterS <= 0 || read.InFlightS < 0 {
		return read, errors.New("afterS must be above 0, flightS at least 0")
	}
	if len(read.Variants) == 0 {
		read.Variants = []Variant{{Name: "as given"}}
	}
	names := map[string]bool{}
	for _, variant := range read.Variants {
		if variant.Name == "" || names[variant.Name] {
			return read, errors.Errorf("variants: name %q is missing or stands twice", variant.Name)
		}
		names[variant.Name] = true
		built, err := build(read.Scenario, variant)
		if err != nil {
			return read, errors.Wrapf(err, "variant %q", variant.Name)
		}
		read.Scenarios = append(read.Scenarios, built)
	}
	return read, nil
}

// build is the scenario of a variant, on top of the defaults and the file's values.
func build(base map[string]any, variant Variant) (emulator.Scenario, error) {
	scenario := emulator.Defaults()
	tree := koanf.New(".")
	if err := tree.Load(confmap.Provider(base, ""), nil); err != nil {
		return scenario, err
	}
	changes := koanf.New(".")
	if err := changes.Load(confmap.Provider(variant.Overrides, "."), nil); err != nil {
		return scenario, err
	}
	for _, key := range changes.Keys() {
		if err := tree.Set(key, changes.Get(key)); err != nil {
			return scenario, errors.Wrap(err, key)
		}
	}
	if err := decode(tree, &scenario, "scenario"); err != nil {
		return scenario, err
	}
	return scenario, scenario.Check()
}

// decode reads the tree into the target and rejects unknown keys; root names the top level in
// errors.
func decode(tree *koanf.Koanf, target any, root string) error {
	err := tree.UnmarshalWithConf("", target, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		Result:      target,
		TagName:     "koanf",
		ErrorUnused: true,
		DecodeHook:  mapstructure.StringToTimeDurationHookFunc(),
	}})
	if err == nil {
		return nil
	}
	var parts []string
	for _, line := range strings.Split(err.Error(), "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "decoding failed") {
			parts = append(parts, strings.NewReplacer("has invalid keys", "has unknown keys", "'' ", root+" ").Replace(line))
		}
	}
	return errors.New(strings.Join(parts, "; "))
}
