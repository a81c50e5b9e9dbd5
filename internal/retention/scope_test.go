package retention_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/retention"
)

func TestScope_Covers(t *testing.T) {
	for name, test := range map[string]struct {
		scope     retention.Scope
		reference string
		part      uint64
		want      bool
	}{
		"everything":                  {retention.Scope{}, "m/a", 1, true},
		"the model":                   {retention.Scope{Model: "m"}, "m", 1, true},
		"an adapter of the model":     {retention.Scope{Model: "m"}, "m/a", 1, true},
		"the adapter":                 {retention.Scope{Model: "m/a"}, "m/a", 1, true},
		"the model of the adapter":    {retention.Scope{Model: "m/a"}, "m", 1, false},
		"another adapter":             {retention.Scope{Model: "m/a"}, "m/b", 1, false},
		"another model":               {retention.Scope{Model: "m"}, "n", 1, false},
		"the prompt part":             {retention.Scope{PromptPart: "0a"}, "m", 10, true},
		"another prompt part":         {retention.Scope{PromptPart: "0a"}, "m", 11, false},
		"no id of a prompt part":      {retention.Scope{PromptPart: "x"}, "m", 0, false},
		"both":                        {retention.Scope{Model: "m", PromptPart: "a"}, "m/a", 10, true},
		"the part with another model": {retention.Scope{Model: "n", PromptPart: "a"}, "m", 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.scope.Covers(test.reference, test.part), test.want)
		})
	}
}

func TestScope_CoversModel(t *testing.T) {
	assert.Assert(t, retention.Scope{}.CoversModel("m"))
	assert.Assert(t, retention.Scope{Model: "m"}.CoversModel("m"))
	assert.Assert(t, retention.Scope{Model: "m/a"}.CoversModel("m"))
	assert.Assert(t, !retention.Scope{Model: "n"}.CoversModel("m"))
}
