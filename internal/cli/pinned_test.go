package cli

import (
	"reflect"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

// statusError is an error with its own exit status.
type statusError struct{ error }

func (statusError) ExitStatus() int { return 7 }

func TestReportError_StatusesStayTheSame(t *testing.T) {
	assert.DeepEqual(t, []int{ExitSuccess, ExitFailed, ExitUsage, ExitSettings}, []int{0, 1, 2, 3})
	cases := map[string]struct {
		err    error
		status int
	}{
		"no error":               {nil, 0},
		"request for help":       {&flags.Error{Type: flags.ErrHelp, Message: "help"}, 0},
		"any error":              {errors.New("failed"), 1},
		"unknown option":         {&flags.Error{Type: flags.ErrUnknownFlag}, 2},
		"usage error":            {NewUsageError(errors.New("wrong")), 2},
		"error with exit status": {errors.Wrap(statusError{errors.New("own")}, "wrapped"), 7},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, ReportError("program", testCase.err), testCase.status)
		})
	}
}

func TestOptions_StayTheSame(t *testing.T) {
	var names []string
	optionsType := reflect.TypeFor[options]()
	for position := range optionsType.NumField() {
		tag := optionsType.Field(position).Tag
		names = append(names, tag.Get("short")+" "+tag.Get("long")+" "+tag.Get("default"))
	}
	pinned.CheckJSON(t, "testdata/options.json", names)
}
