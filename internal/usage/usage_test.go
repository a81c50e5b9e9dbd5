package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func TestWindows_EndIsWhereTheNextOneBegins(t *testing.T) {
	windows := Windows{Length: 5 * time.Second}
	number := windows.At(noon)
	assert.Equal(t, windows.At(windows.End(number).Add(-time.Nanosecond)), number)
	assert.Equal(t, windows.At(windows.End(number)), number+1)
}

// TestLedger_CountsOnceDespiteLossesAndRestarts sends counts from one ledger to another over a network that loses, repeats and
// delays batches, while receivers are replaced.
func TestLedger_CountsOnceDespiteLossesAndRestarts(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		source, delivery := NewLedger(), &Delivery{}
		receiver, incarnation := NewLedger(), 0
		want := uint64(0)
		var delayed [][]Entry
		for range 200 {
			if rng.IntN(2) == 0 {
				source.Add("edge", 7, "tenant")
				want++
			}
			if rng.IntN(40) == 0 {
				receiver, incarnation = NewLedger(), incarnation+1
			}
			batch := delivery.Next(source)
			switch rng.IntN(4) {
			case 0: // lost
			case 1:
				delayed = append(delayed, batch.Entries)
			case 2: // merged, but the acknowledgement is lost
				receiver.Merge(batch.Entries)
			default:
				receiver.Merge(batch.Entries)
				delivery.Acknowledge(fmt.Sprint(incarnation), batch)
			}
			if len(delayed) > 0 && rng.IntN(3) == 0 {
				receiver.Merge(delayed[rng.IntN(len(delayed))])
			}
		}
		for range 3 {
			batch := delivery.Next(source)
			receiver.Merge(batch.Entries)
			delivery.Acknowledge(fmt.Sprint(incarnation), batch)
		}
		assert.Equal(t, receiver.Totals(7)["tenant"], want, "seed %d", seed)
		assert.Equal(t, len(delivery.Next(source).Entries), 0, "acknowledged entries are not sent again")
	}
}

func TestLedger_SumsIncarnationsAndIgnoresDroppedWindows(t *testing.T) {
	ledger := NewLedger()
	ledger.Merge([]Entry{
		{Incarnation: "one", Window: 7, Counts: map[string]uint64{"a": 3}},
		{Incarnation: "two", Window: 7, Counts: map[string]uint64{"a": 4, "b": 1}},
		{Incarnation: "two", Window: 8, Counts: map[string]uint64{"a": 9}},
	})
	assert.DeepEqual(t, ledger.Totals(7), map[string]uint64{"a": 7, "b": 1})
	ledger.DropBefore(8)
	ledger.Merge([]Entry{{Incarnation: "one", Window: 7, Counts: map[string]uint64{"a": 30}}})
	ledger.Add("one", 7, "a")
	assert.Equal(t, len(ledger.Totals(7)), 0)
	assert.Equal(t, ledger.Totals(8)["a"], uint64(9))
}

func TestReportState_ClosedWindowsKeepTheirCounts(t *testing.T) {
	isAccepted := func(window uint64) bool { return window == 5 }
	state := ReportState{}.Close([]Report{{Window: 5}, {Window: 6, Counts: map[string]uint64{"a": 1}}}, isAccepted)
	assert.Equal(t, state.ClosedUpTo, uint64(6))
	next := state.Close([]Report{{Window: 6, Counts: map[string]uint64{"a": 2}}, {Window: 7}}, isAccepted)
	assert.DeepEqual(t, next, ReportState{ClosedUpTo: 7, Pending: []Report{{Window: 6, Counts: map[string]uint64{"a": 1}}, {Window: 7}}})
}

func TestReportState_PendingReportsAreBounded(t *testing.T) {
	var state ReportState
	for window := uint64(1); window <= 3*maxPending; window++ {
		state = state.Close([]Report{{Window: window}}, func(uint64) bool { return false })
	}
	assert.Equal(t, len(state.Pending), maxPending)
	assert.Equal(t, state.Pending[maxPending-1].Window, state.ClosedUpTo)
}
