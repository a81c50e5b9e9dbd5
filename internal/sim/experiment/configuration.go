// Package experiment runs variants of an emulated fleet with several seeds, summarizes the results as tables, JSON and plots,
// and compares forecasts of a loss with its emulated outcome.
//
// All its figures are emulated. It starts no node and opens no connection, and writes only to the directory given. Start
// reading at Load, Run and Summarize, or at CompareForecasts for forecasts.
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

// Configuration is the configuration of an experiment. Each variant overrides parts of the scenario; Scenarios holds the
// resulting scenarios in the order of the variants.
type Configuration struct {
	Name        string `koanf:"name"`
	Description string `koanf:"about"`
	Seeds       int    `koanf:"seeds"`
	FirstSeed   uint64 `koanf:"firstSeed"`
	// AfterS is the length of the period after the loss, in seconds.
	AfterS float64 `koanf:"afterS"`
	// InFlightS is how many seconds before the loss a request may arrive and still count as in flight at the loss.
	InFlightS float64             `koanf:"flightS"`
	Scenario  map[string]any      `koanf:"scenario"`
	Variants  []Variant           `koanf:"variants"`
	Scenarios []emulator.Scenario `koanf:"-"`
}

// Variant overrides values of the scenario, by dotted key.
type Variant struct {
	Name      string         `koanf:"name"`
	Overrides map[string]any `koanf:"set"`
}

const (
	// maxSeeds is the maximum number of seeds.
	maxSeeds         = 1000
	defaultSeeds     = 10
	defaultAfterS    = 30
	defaultInFlightS = 15
)

// Load reads and validates the file of an experiment.
func Load(path string) (Configuration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Configuration{}, errors.Wrap(err, "experiment")
	}
	configuration, err := Parse(content)
	return configuration, errors.Wrap(err, path)
}

// Parse parses and validates an experiment in TOML and builds the scenarios of its variants.
func Parse(content []byte) (Configuration, error) {
	configuration := Configuration{Seeds: defaultSeeds, FirstSeed: 1, AfterS: defaultAfterS, InFlightS: defaultInFlightS}
	tree := koanf.New(".")
	if err := tree.Load(rawbytes.Provider(content), toml.Parser()); err != nil {
		return configuration, errors.Wrap(err, "cannot be read")
	}
	if err := decode(tree, &configuration, "the file"); err != nil {
		return configuration, err
	}
	if configuration.Name == "" {
		return configuration, errors.New("name is missing")
	}
	if configuration.Seeds < 1 || configuration.Seeds > maxSeeds {
		return configuration, errors.Errorf("seeds must lie between 1 and %d", maxSeeds)
	}
	if configuration.AfterS <= 0 || configuration.InFlightS < 0 {
		return configuration, errors.New("afterS must be above 0, flightS at least 0")
	}
	if len(configuration.Variants) == 0 {
		configuration.Variants = []Variant{{Name: "as given"}}
	}
	names := map[string]bool{}
	for _, variant := range configuration.Variants {
		if variant.Name == "" || names[variant.Name] {
			return configuration, errors.Errorf("variants: name %q is missing or stands twice", variant.Name)
		}
		names[variant.Name] = true
		built, err := build(configuration.Scenario, variant)
		if err != nil {
			return configuration, errors.Wrapf(err, "variant %q", variant.Name)
		}
		configuration.Scenarios = append(configuration.Scenarios, built)
	}
	return configuration, nil
}

// build returns the scenario of a variant: the defaults, overridden by base and then by the variant.
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

// decode decodes the tree into target and rejects unknown keys. Errors call the top level root.
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
