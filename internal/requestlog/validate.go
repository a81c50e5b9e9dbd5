package requestlog

import "github.com/pkg/errors"

// Errors of invalid entries.
var (
	errNegativeTime           = errors.New("time below 0")
	errNoDocument             = errors.New("configuration without its document")
	errNegativeDataPlaneCount = errors.New("edges below 0")
	errNoRouteOrBackend       = errors.New("order without route or backend")
	errNegativeRequestValue   = errors.New("order with a number below 0")
)

// validators validate the fields of an entry, by its kind.
var validators = map[Kind]func(entry Entry) error{
	KindConfiguration: validateConfiguration,
	KindFleet:         validateFleet,
	KindRequest:       validateRequest,
}

// validate returns an error if the entry can't be used.
func (e Entry) validate() error {
	validateKind := validators[e.Kind]
	if validateKind == nil {
		return errors.Errorf("unknown kind %q", e.Kind)
	}
	if err := validateKind(e); err != nil {
		return err
	}
	if e.AtMs < 0 {
		return errNegativeTime
	}
	return nil
}

func validateConfiguration(entry Entry) error {
	if len(entry.PackedConfiguration) == 0 {
		return errNoDocument
	}
	return nil
}

func validateFleet(entry Entry) error {
	if entry.DataPlaneCount < 0 {
		return errNegativeDataPlaneCount
	}
	return nil
}

func validateRequest(entry Entry) error {
	if entry.Route == "" || entry.Backend == "" {
		return errNoRouteOrBackend
	}
	if entry.TimeoutMs < 0 || entry.PromptTokens < 0 || entry.OutputTokens < 0 {
		return errNegativeRequestValue
	}
	return nil
}
