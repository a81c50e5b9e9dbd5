package placement

import (
	"math/big"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

// checkLoad checks by exact arithmetic that a load fits the memory and the adapter slots beside all that is or may be loaded
// at the server, and that an adapter is loaded beside its model.
func checkLoad(t *testing.T, view *View, server *Server, action Action, note string) {
	t.Helper()
	runtime := view.Table.Configuration.Backends[0].Runtime
	possiblyLoaded := map[string]bool{action.Model: true}
	for _, references := range []map[string]bool{server.Loaded, server.MaybeLoaded} {
		for reference, loaded := range references {
			if loaded {
				possiblyLoaded[reference] = true
			}
		}
	}
	total, adapters := new(big.Rat), 0
	for reference := range possiblyLoaded {
		size, known := configuredSize(runtime, reference)
		// A recorded size was rounded up by less than a unit.
		if earlier, remembered := view.SizeHistory.sizesAt(server.ID)[reference]; remembered && reference != action.Model {
			size, known = max(size, float64(earlier-1)/unitsPerMb), true
		}
		assert.Assert(t, known, "%s: %v beside %s of unknown size", note, action, reference)
		total.Add(total, new(big.Rat).SetFloat64(size))
		if strings.Contains(reference, "/") {
			adapters++
		}
	}
	capacity := new(big.Rat).SetFloat64(runtime.WeightSizeMb)
	assert.Assert(t, total.Cmp(capacity) <= 0, "%s: %v", note, action)
	assert.Assert(t, isConfiguredReference(runtime, action.Model), "%s: %v", note, action)
	if model, adapter := SplitReference(action.Model); adapter != "" {
		assert.Assert(t, adapters <= runtime.AdapterCapacity && server.Loaded[model], "%s: %v", note, action)
	}
}

// configuredSize returns the size of a reference in MB and whether the configuration gives one.
func configuredSize(runtime *configuration.Runtime, reference string) (float64, bool) {
	name, adapter := SplitReference(reference)
	for _, model := range runtime.Models {
		switch {
		case model.Name != name:
		case adapter == "":
			return model.WeightSizeMb, true
		default:
			return model.AdapterSizeMb, true
		}
	}
	return 0, false
}
