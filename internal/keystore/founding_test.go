package keystore

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testSeeds    = []string{"a", "b", "c"}
	testFounding = FoundingList(testSeeds)
)

// empty is the answer of a founder that never voted on its present disk.
func empty() Reply {
	return Reply{Refusal: RefusedNotVoting, NeverVoted: true, Incarnation: 5, Seeds: []string{"c", "a", "b"}}
}

// votes is the answer of a founder that votes under the founding list.
func votes() Reply { return Reply{Granted: true, Incarnation: 6, Members: testFounding} }

func with(reply Reply, change func(reply *Reply)) Reply {
	change(&reply)
	return reply
}

func TestGivenTheAnswersOfTheFoundersThenFoundingIsReadyOnlyIfNoneKnowsMore(t *testing.T) {
	later := Members{Number: 2, Present: testSeeds, Next: []string{"a", "b", "d"}}
	other := []string{"a", "b", "d"}
	cases := map[string]struct {
		answer  *Reply
		verdict FoundingVerdict
	}{
		"it never voted":                        {new(empty()), FoundingReady},
		"it never voted and was told the list":  {new(with(empty(), func(r *Reply) { r.Members, r.Seeds = testFounding, other })), FoundingReady},
		"it votes":                              {new(votes()), FoundingReady},
		"it has not answered":                   {nil, FoundingSilent},
		"it was not reached":                    {&Reply{Refusal: RefusedUnreached}, FoundingSilent},
		"its disk refuses":                      {&Reply{Refusal: RefusedDisk}, FoundingRefused},
		"it names other seeds":                  {new(with(empty(), func(r *Reply) { r.Seeds = other })), FoundingOtherSeeds},
		"it holds another founding list":        {new(with(votes(), func(r *Reply) { r.Members.Present = other })), FoundingOtherSeeds},
		"it holds a later list":                 {new(with(votes(), func(r *Reply) { r.Members = later })), FoundingLaterMembers},
		"it never voted and was told a later":   {new(with(empty(), func(r *Reply) { r.Members = later })), FoundingLaterMembers},
		"it voted and was dropped":              {new(with(empty(), func(r *Reply) { r.NeverVoted = false })), FoundingLaterMembers},
		"it accepted a change of members":       {new(with(votes(), func(r *Reply) { r.Slots = []Slot{accepted(MembersKey, 1, "list")} })), FoundingLaterMembers},
		"it saw the founding completed":         {new(with(votes(), func(r *Reply) { r.Completed = true })), FoundingCompleted},
		"it saw that, and another stays silent": {new(with(votes(), func(r *Reply) { r.Completed = true })), FoundingCompleted},
	}
	for name, one := range cases {
		replies := map[string]Reply{"a": empty(), "b": empty()}
		if one.answer != nil {
			replies["c"] = *one.answer
		}
		if name == "it saw that, and another stays silent" {
			delete(replies, "b")
		}
		assert.Equal(t, JudgeFounding("a", testFounding, replies), one.verdict, name)
	}
	all := map[string]Reply{"a": empty(), "b": empty(), "c": empty()}
	assert.Equal(t, JudgeFounding("d", testFounding, all), FoundingNotFounder)
	assert.Equal(t, JudgeFounding("a", later, all), FoundingLaterMembers)
}

func TestGivenAMemberThatNeverVotedThenItNotesWhoAsksBeforeItAnswers(t *testing.T) {
	member := newMember(WipedSlots(7)...)
	member.Seeds = testSeeds
	reply, changes := member.Step(Message{Operation: OperationCatchUp, Sender: "b", Incarnation: 22}, testNow, nil)
	assert.Equal(t, reply.Refusal, RefusedNotVoting)
	assert.Assert(t, reply.NeverVoted)
	assert.DeepEqual(t, reply.Seeds, testSeeds)
	member.Apply(changes)
	assert.Equal(t, knownIncarnation(member.Slots, "b"), uint64(22))
	installed, changes := member.Install(CatchUp{Members: testFounding, Incarnation: 7}, testNow)
	assert.Assert(t, installed.Granted)
	member.Apply(changes)
	write := Message{Operation: OperationAccept, Key: "x", Ballot: ballotOf(1), Sequence: 1, Members: testFounding, Incarnations: map[string]uint64{"b": 21}}
	refused, _ := member.Step(write, testNow, member.Slots)
	assert.Equal(t, refused.Refusal, RefusedWiped, "it counts a promise of b's lost disk")
}

func TestGivenTheEndOfTheFoundingThenItIsNotedOnceAndOnlyUnderTheFoundingList(t *testing.T) {
	member := newMember(FreshSlots(testFounding, 4)...)
	reply, changes := member.CompleteFounding()
	assert.Assert(t, reply.Granted)
	member.Apply(changes)
	told, _ := member.Step(Message{Operation: OperationCatchUp, Sender: "b", Incarnation: 22, Members: testFounding}, testNow, nil)
	assert.Assert(t, told.Granted && told.Completed)
	_, changes = member.CompleteFounding()
	assert.Equal(t, len(changes), 0)
	_, changes = voter().CompleteFounding()
	assert.Equal(t, len(changes), 0, "the list was changed")
}
