package explore_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/explore"
)

func searchExhaustively(t *testing.T, scenario explore.Scenario, rules explore.Rules) {
	t.Helper()
	report := explore.Search(t.Context(), scenario, rules, explore.Limits{})
	t.Log(report)
	assert.Equal(t, report.Violation, "")
	assert.Assert(t, report.Exhausted)
}

func TestSearch_ShortScenariosHoldAgreement(t *testing.T) {
	for _, scenario := range explore.ShortScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			if testing.Short() && slices.Contains([]string{"lease-wiped", "two-proposers", "founding-from-nothing", "founding-with-wipe"}, scenario.Name) {
				t.Skip("takes seconds")
			}
			searchExhaustively(t, scenario, explore.ProductRules())
		})
	}
}

func TestSearch_LimitStopsBeforeExhaustion(t *testing.T) {
	report := explore.Search(t.Context(), explore.TwoProposers(), explore.ProductRules(), explore.Limits{States: 100})
	assert.Assert(t, !report.Exhausted && report.Violation == "")
	report = explore.Search(t.Context(), explore.TwoProposers(), explore.ProductRules(), explore.Limits{Depth: 3})
	assert.Assert(t, !report.Exhausted && report.Depth == 3)
}

func TestSearch_IsDeterministic(t *testing.T) {
	first := explore.Search(t.Context(), explore.MembershipDuringCatchUp(), explore.ProductRules(), explore.Limits{})
	second := explore.Search(t.Context(), explore.MembershipDuringCatchUp(), explore.ProductRules(), explore.Limits{})
	first.Duration, second.Duration = 0, 0
	assert.DeepEqual(t, first, second)
}
