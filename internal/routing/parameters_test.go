package routing

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// The scenario files in docs/experiments use these keys, so they must not change when a field is renamed.
func TestParameters_ScenarioKeysStayTheSame(t *testing.T) {
	var keys []string
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Parameters]()) {
		keys = append(keys, field.Tag.Get("koanf"))
	}
	assert.DeepEqual(t, keys, []string{
		"batchSize", "batchWait", "delta", "tokenPrice", "crossPrice", "moveCost", "interferenceCost",
		"queueBound",
		"ledgerBound", "ledgerLife", "hitAffinity", "hitMargin", "daemon", "coldOverage", "coldSlack", "lifeBegan",
	})
}
