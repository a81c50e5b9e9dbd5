package linearizability_test

import (
	"slices"
	"testing"
)

// shrinkRuns is the maximum number of runs to shrink a failing schedule.
const shrinkRuns = 250

type shrinker struct {
	test    *testing.T
	variant variant
	runs    int
	failure error
}

// shrink removes faults and calls from a failing schedule while it still fails, and returns the smallest one found with its
// failure.
func shrink(t *testing.T, failing schedule, broken variant, failure error) (schedule, error) {
	s := &shrinker{test: t, variant: broken, failure: failure}
	for before := -1; before != len(failing.faults)+len(failing.calls); {
		before = len(failing.faults) + len(failing.calls)
		failing.calls = reduce(failing.calls, func(calls []operatorCall) bool {
			smaller := failing
			smaller.calls = calls
			return s.fails(smaller)
		})
		failing.faults = reduce(failing.faults, func(faults []plannedFault) bool {
			smaller := failing
			smaller.faults = faults
			return s.fails(smaller)
		})
	}
	return failing, s.failure
}

func (s *shrinker) fails(candidate schedule) bool {
	if s.runs++; s.runs > shrinkRuns {
		return false
	}
	_, err := runAndCheck(s.test, candidate, s.variant)
	if err != nil {
		s.failure = err
	}
	return err != nil
}

// reduce removes sequences of items, long ones first, as long as the rest still fails.
func reduce[Item any](items []Item, fails func(items []Item) bool) []Item {
	for length := max(len(items)/2, 1); length > 0; length /= 2 {
		for from := 0; from < len(items); {
			rest := slices.Concat(items[:from], items[min(from+length, len(items)):])
			if fails(rest) {
				items = rest
			} else {
				from += length
			}
		}
	}
	return items
}
