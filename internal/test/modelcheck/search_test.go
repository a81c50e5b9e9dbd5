package modelcheck_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/modelcheck"
)

func searchExhaustively(t *testing.T, scenario modelcheck.Scenario, rules modelcheck.Rules) {
	t.Helper()
	report := modelcheck.Search(t.Context(), scenario, rules, modelcheck.Limits{})
	t.Log(report)
	assert.Equal(t, report.Violation, "")
	assert.Assert(t, report.Exhausted)
}

func TestSearch_ShortScenariosHaveNoViolation(t *testing.T) {
	for _, scenario := range modelcheck.ShortScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			if testing.Short() && slices.Contains([]string{
				"lease-wiped",
				"two-proposers",
				"founding-from-nothing",
				"founding-with-wipe",
			}, scenario.Name) {
				t.Skip("takes seconds")
			}
			searchExhaustively(t, scenario, modelcheck.ProductionRules())
		})
	}
}

func TestSearch_LimitStopsBeforeExhaustion(t *testing.T) {
	report := modelcheck.Search(t.Context(), modelcheck.TwoProposers(), modelcheck.ProductionRules(), modelcheck.Limits{States: 100})
	assert.Assert(t, !report.Exhausted && report.Violation == "")
	report = modelcheck.Search(t.Context(), modelcheck.TwoProposers(), modelcheck.ProductionRules(), modelcheck.Limits{Depth: 3})
	assert.Assert(t, !report.Exhausted && report.Depth == 3)
}

func TestSearch_IsDeterministic(t *testing.T) {
	first := modelcheck.Search(t.Context(), modelcheck.MembershipDuringCatchUp(), modelcheck.ProductionRules(), modelcheck.Limits{})
	second := modelcheck.Search(t.Context(), modelcheck.MembershipDuringCatchUp(), modelcheck.ProductionRules(), modelcheck.Limits{})
	first.Duration, second.Duration = 0, 0
	assert.DeepEqual(t, first, second)
}
