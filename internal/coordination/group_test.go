package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testEventRetention = 30 * time.Second

func newTestGroup(t *testing.T) *Group {
	t.Helper()
	return (&Group{}).reopen(t, testNow)
}

// reopen returns the group as opened by its next owner.
func (g *Group) reopen(t *testing.T, now time.Time) *Group {
	t.Helper()
	reopened, err := openGroup(g.Value(), now, Config{EventRetention: testEventRetention})
	assert.NilError(t, err)
	return reopened
}

func (g *Group) putValue(name, value string, expected *uint64, after time.Duration) Result {
	result, _ := g.Apply(Call{Operation: OperationPut, Name: name, Value: value, ExpectedRevision: expected}, testNow.Add(after))
	return result
}

func (g *Group) read(name string) Result {
	result, _ := g.Apply(Call{Operation: OperationGet, Name: name}, testNow)
	return result
}

func (g *Group) eventsAfter(after uint64) Result {
	result, _ := g.Apply(Call{Operation: OperationEvents, AfterRevision: after}, testNow)
	return result
}

func revision(number uint64) *uint64 { return &number }

func TestGroup_RevisionsCountPerGroupAndConditionsApplyPerKey(t *testing.T) {
	group := newTestGroup(t)
	assert.Equal(t, group.read("g.a").Outcome, OutcomeNotFound)
	assert.Equal(t, group.putValue("g.a", "1", revision(0), 0).Revision, uint64(1))
	assert.Equal(t, group.putValue("g.b", "2", revision(0), 0).Revision, uint64(2))
	assert.DeepEqual(t, group.putValue("g.a", "3", revision(2), 0), Result{Outcome: OutcomeConflict, Revision: 1})
	assert.DeepEqual(t, group.putValue("g.c", "3", revision(2), 0), Result{Outcome: OutcomeConflict})
	assert.Equal(t, group.putValue("g.a", "3", revision(1), 0).Revision, uint64(3))
	assert.Equal(t, group.putValue("g.b", "4", nil, 0).Revision, uint64(4), "unconditional put")
	assert.DeepEqual(t, group.read("g.a"), Result{Outcome: OutcomeDone, Value: "3", Revision: 3})
}

func TestGroup_RepeatedPutGetsItsFirstRevision(t *testing.T) {
	group := newTestGroup(t)
	group.putValue("g.a", "1", revision(0), 0)
	group.putValue("g.a", "2", revision(1), 0)
	for _, owner := range []*Group{group, group.reopen(t, testNow)} {
		assert.DeepEqual(t, owner.putValue("g.a", "1", revision(0), time.Second), Result{Outcome: OutcomeDone, Revision: 1})
		assert.DeepEqual(t, owner.putValue("g.a", "2", nil, time.Second), Result{Outcome: OutcomeDone, Revision: 2})
		assert.Equal(t, owner.read("g.a").Value, "2")
	}
	assert.Equal(t, group.putValue("g.a", "1", revision(2), 0).Revision, uint64(3), "a put at the current revision is a new one")
	assert.Equal(t, group.read("g.a").Value, "1")
}

func TestGroup_RetainsEventsForTheRetentionTime(t *testing.T) {
	group := newTestGroup(t)
	group.putValue("g.a", "1", nil, 0)
	group.putValue("g.b", "2", nil, 10*time.Second)
	group.putValue("g.a", "3", nil, testEventRetention)
	assert.Equal(t, group.eventsAfter(0).Outcome, OutcomeCompacted)
	assert.Equal(t, len(group.eventsAfter(1).Events), 2)
	assert.DeepEqual(t, group.eventsAfter(3), Result{Outcome: OutcomeDone, Revision: 3})
	assert.Equal(t, group.read("g.b").Value, "2")
	group.putValue("g.a", "4", nil, 10*testEventRetention)
	assert.Equal(t, group.eventsAfter(2).Outcome, OutcomeCompacted)
	assert.Equal(t, group.eventsAfter(3).Events[0].Revision, uint64(4))
	assert.Equal(t, group.read("g.b").Value, "2", "a key outlives its event")
	assert.Equal(t, group.putValue("g.b", "2", revision(0), 10*testEventRetention).Revision, uint64(2), "the current value is recognized")
}

func TestGroup_NextOwnerCountsRetentionFromItsOwnStart(t *testing.T) {
	group := newTestGroup(t)
	group.putValue("g.a", "1", nil, 0)
	start := time.Hour
	group = group.reopen(t, testNow.Add(start))
	group.putValue("g.a", "2", nil, start+testEventRetention-time.Second)
	assert.Equal(t, len(group.eventsAfter(0).Events), 2, "the new owner does not know the age of the first event")
	group.putValue("g.a", "3", nil, start+testEventRetention)
	assert.Equal(t, group.eventsAfter(0).Outcome, OutcomeCompacted)
	assert.Equal(t, len(group.eventsAfter(1).Events), 2)
}

func TestGroup_StoredValueIsSmallAndValidated(t *testing.T) {
	group := newTestGroup(t)
	const puts = 100
	for number := range puts {
		group.putValue(fmt.Sprintf("group.%d", number%30), fmt.Sprintf("%016d", number), nil, time.Duration(number)*time.Second)
	}
	stored := group.Value()
	assert.Assert(t, len(stored) < 60*30+100, "%d bytes for 30 keys and 30 puts", len(stored))
	reopened := group.reopen(t, testNow)
	assert.DeepEqual(t, reopened.eventsAfter(puts-5), group.eventsAfter(puts-5))
	for number := range 30 {
		name := fmt.Sprintf("group.%d", number)
		assert.DeepEqual(t, reopened.read(name), group.read(name))
	}
	for _, corrupt := range []string{
		`{"g":"g.","keys":{"k":["a"]},"events":{}}`,
		`{"g":"g.","floor":7,"keys":{},"events":{"k":["a"],"v":["1"],"r":[7]}}`,
	} {
		_, err := openGroup([]byte(corrupt), testNow, Config{})
		assert.ErrorIs(t, err, ErrCorruptValue)
	}
	single := newTestGroup(t)
	single.putValue("alone", "1", nil, 0)
	assert.Equal(t, single.reopen(t, testNow).read("alone").Value, "1")
}

func TestGroup_SizeIsLimitedAndFreedByCompaction(t *testing.T) {
	group := newTestGroup(t)
	large := strings.Repeat("x", MaxValueBytes-10)
	puts := 0
	for ; group.putValue("g.a", fmt.Sprint(puts, large), nil, 0).Outcome == OutcomeDone; puts++ {
		assert.Assert(t, puts < 100)
	}
	assert.Assert(t, puts > 10)
	full := group.putValue("g.a", "one more "+large, nil, 0)
	assert.DeepEqual(t, full, Result{Outcome: OutcomeFull})
	assert.Equal(t, group.read("g.a").Revision, uint64(puts), "a rejected put changes nothing")
	assert.Equal(t, group.putValue("g.a", "later "+large, nil, testEventRetention).Revision, uint64(puts+1))
	status, _ := group.Apply(Call{Operation: OperationInspect}, testNow)
	assert.Assert(t, status.Group.Bytes < 3*MaxValueBytes, "%d bytes", status.Group.Bytes)
}

func TestGroup_ListsEventsInPages(t *testing.T) {
	group := newTestGroup(t)
	const puts = 2*maxEventsReturned + 5
	for number := range puts {
		group.putValue("g.a", fmt.Sprint(number), nil, 0)
	}
	after, listed := uint64(0), 0
	for {
		result := group.eventsAfter(after)
		if len(result.Events) == 0 {
			break
		}
		assert.Equal(t, result.Events[0].Revision, after+1)
		assert.Equal(t, result.Events[len(result.Events)-1].Revision, result.Revision)
		after, listed = result.Revision, listed+len(result.Events)
	}
	assert.Equal(t, listed, puts)
}

func TestCall_ValidateReportsInvalidField(t *testing.T) {
	for _, example := range []struct {
		call     Call
		expected error
	}{
		{Call{Operation: OperationNext, Name: "n"}, nil},
		{Call{Operation: OperationNext}, ErrInvalidName},
		{Call{Operation: OperationNext, Name: "a b"}, ErrInvalidName},
		{Call{Operation: OperationNext, Name: "a/b"}, ErrInvalidName},
		{Call{Operation: OperationNext, Name: strings.Repeat("n", MaxNameBytes+1)}, ErrInvalidName},
		{acquire("a", time.Second), nil},
		{acquire("", time.Second), ErrInvalidHolder},
		{acquire("a", 0), ErrInvalidTTL},
		{acquire("a", MaxLockTTL+time.Millisecond), ErrInvalidTTL},
		{renew("a", 0, time.Second), ErrInvalidFence},
		{release("a", 0), ErrInvalidFence},
		{Call{Operation: OperationPut, Name: "k", Value: strings.Repeat("v", MaxValueBytes+1)}, ErrInvalidValue},
	} {
		example.call.Kind = KindLock
		assert.Equal(t, example.call.Validate(), example.expected)
	}
	assert.Equal(t, GroupOf("g1.2d.x"), "g1.")
	assert.Equal(t, GroupOf("g1"), "g1")
}
