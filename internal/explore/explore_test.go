package explore_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/explore"
)

func walk(t *testing.T, scenario explore.Scenario, rules explore.Rules) {
	t.Helper()
	report := explore.Search(t.Context(), scenario, rules, explore.Limits{})
	t.Log(report)
	assert.Equal(t, report.Violation, "")
	assert.Assert(t, report.Exhausted)
}

func TestGivenEveryOrderOfEventsThenTheAgreementHolds(t *testing.T) {
	for _, scenario := range explore.ShortScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			if testing.Short() && slices.Contains([]string{"lease-wiped", "two-proposers", "founding-from-nothing", "founding-with-wipe"}, scenario.Name) {
				t.Skip("takes seconds")
			}
			walk(t, scenario, explore.Product())
		})
	}
}

func TestGivenALimitThenTheWalkSaysThatItStoppedBeforeTheBound(t *testing.T) {
	report := explore.Search(t.Context(), explore.TwoProposers(), explore.Product(), explore.Limits{States: 100})
	assert.Assert(t, !report.Exhausted && report.Violation == "")
	report = explore.Search(t.Context(), explore.TwoProposers(), explore.Product(), explore.Limits{Depth: 3})
	assert.Assert(t, !report.Exhausted && report.Depth == 3)
}

func TestGivenAScenarioWalkedTwiceThenBothWalksAreAlike(t *testing.T) {
	first := explore.Search(t.Context(), explore.ListDuringCatchUp(), explore.Product(), explore.Limits{})
	second := explore.Search(t.Context(), explore.ListDuringCatchUp(), explore.Product(), explore.Limits{})
	first.Took, second.Took = 0, 0
	assert.DeepEqual(t, first, second)
}
