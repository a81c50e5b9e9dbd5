package membership_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

const (
	heard = 100 * time.Millisecond
	gone  = 10 * time.Second
)

// view is that of self in which the addresses given are heard, and every other member is
// silent to self and to all that are heard.
func view(self string, current keystore.Members, live ...string) membership.View {
	seen := membership.View{Current: current, Self: self, Wanted: 3, Peers: map[string]membership.Peer{self: {Address: self, Number: current.Number}}}
	var silent []string
	for _, member := range current.All() {
		if member != self && !slices.Contains(live, member) {
			silent = append(silent, member)
		}
	}
	for _, address := range live {
		seen.Peers[address] = membership.Peer{Address: address, Silence: heard, Number: current.Number, Silent: silent}
	}
	return seen
}

func (p peerEdit) on(seen membership.View, address string) membership.View {
	peer := seen.Peers[address]
	p(&peer)
	seen.Peers[address] = peer
	return seen
}

type peerEdit func(peer *membership.Peer)

func joining(peer *membership.Peer) { peer.Joining = true }
func leaving(peer *membership.Peer) { peer.Leaving = true }

var three = keystore.Members{Number: 4, Present: []string{"a", "b", "c"}}

func TestGivenALostMemberThenANewcomerIsTakenInJointly(t *testing.T) {
	change, due := membership.Next(peerEdit(joining).on(view("b", three, "c", "d"), "d"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members, keystore.Members{Number: 5, Present: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}})
	_, due = membership.Next(view("b", three, "c"))
	assert.Assert(t, !due, "nobody to take in")
	_, due = membership.Next(view("a", three, "b", "c", "d"))
	assert.Assert(t, !due, "nobody is lost")
}

func TestGivenALinkCutBetweenTwoMembersThenNeitherIsReplaced(t *testing.T) {
	seen := view("a", three, "c", "d")
	peerEdit(func(peer *membership.Peer) { peer.Silent = nil }).on(seen, "c")
	_, due := membership.Next(seen)
	assert.Assert(t, !due, "c hears b")
}

func TestGivenFiveMembersAndTwoLostThenTheOneSilentLongestIsReplacedFirst(t *testing.T) {
	five := keystore.Members{Number: 7, Present: []string{"a", "b", "c", "d", "e"}}
	seen := view("a", five, "b", "c", "f")
	seen.Peers["d"] = membership.Peer{Address: "d", Silence: gone}
	seen.Peers["e"] = membership.Peer{Address: "e", Silence: 2 * gone}
	change, due := membership.Next(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members.Next, []string{"a", "b", "c", "d", "f"})
}

func TestGivenASilentAndALeavingMemberThenTheSilentOneIsReplacedFirst(t *testing.T) {
	five := keystore.Members{Number: 7, Present: []string{"a", "b", "c", "d", "e"}}
	seen := peerEdit(leaving).on(view("b", five, "a", "c", "d", "f"), "a")
	change, due := membership.Next(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members.Next, []string{"a", "b", "c", "d", "f"})
	change, _ = membership.Next(peerEdit(leaving).on(view("b", five, "a", "c", "d", "e", "f"), "a"))
	assert.DeepEqual(t, change.Members.Next, []string{"f", "b", "c", "d", "e"})
}

func TestGivenAJointChangeThenItEndsOnlyWithANewcomerThatReadUnderItsNumber(t *testing.T) {
	joint := keystore.Members{Number: 5, Present: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}}
	number := func(number uint64) peerEdit { return func(peer *membership.Peer) { peer.Number = number } }
	_, due := membership.Next(number(3).on(view("b", joint, "c", "d"), "d"))
	assert.Assert(t, !due, "it votes under an older number only")
	change, due := membership.Next(number(5).on(view("b", joint, "c", "d"), "d"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members, keystore.Members{Number: 6, Present: []string{"d", "b", "c"}})
	change, due = membership.Next(view("b", joint, "c"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members, keystore.Members{Number: 6, Present: []string{"a", "b", "c"}})
}

func TestGivenANewcomerThatOnlyThisDaemonDoesNotHearThenTheChangeGoesOn(t *testing.T) {
	joint := keystore.Members{Number: 5, Present: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}}
	seen := view("b", joint, "a", "c")
	for _, member := range []string{"a", "c"} {
		peerEdit(func(peer *membership.Peer) { peer.Silent = nil }).on(seen, member)
	}
	_, due := membership.Next(seen)
	assert.Assert(t, !due)
}

func TestGivenMoreLossesToBearThanMembersAllowThenMembersAreAddedOneByOne(t *testing.T) {
	current := keystore.Members{Number: 1, Present: []string{"a", "b", "c"}}
	seen := view("a", current, "b", "c", "d", "e")
	seen.Wanted = 5
	change, due := membership.Next(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members, keystore.Members{Number: 2, Present: []string{"a", "b", "c"}, Next: []string{"a", "b", "c", "d"}})
	full := view("a", keystore.Members{Number: 5, Present: []string{"a", "b", "c", "d", "e"}}, "b", "c", "d", "e", "f")
	full.Wanted = 5
	_, due = membership.Next(full)
	assert.Assert(t, !due)
}

func TestGivenNewcomersInSeveralZonesThenTheOneInTheEmptiestZoneIsTaken(t *testing.T) {
	seen := view("a", three, "b", "d", "e")
	for address, zone := range map[string]string{"a": "north", "b": "south", "d": "south", "e": "west"} {
		peerEdit(func(peer *membership.Peer) { peer.Zone = zone }).on(seen, address)
	}
	change, due := membership.Next(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Members.Next, []string{"a", "b", "e"})
}

func TestGivenMembersThatAreHeardThenEachWaitsForThoseBeforeIt(t *testing.T) {
	assert.Equal(t, membership.Patience(view("a", three, "b", "c")), time.Duration(0))
	assert.Equal(t, membership.Patience(view("c", three, "a", "b")), 2*time.Second)
	assert.Equal(t, membership.Patience(view("c", three, "b")), time.Second, "a is silent")
	assert.Equal(t, membership.Patience(peerEdit(joining).on(view("c", three, "a", "b"), "b")), time.Second, "b does not vote")
}

func TestGivenALeavingMemberThenItGoesOnlyWhenItIsNotNeeded(t *testing.T) {
	cases := map[string]struct {
		seen membership.View
		may  bool
	}{
		"a quorum stays":                          {view("a", three, "b", "c"), true},
		"another is down":                         {view("a", three, "b"), false},
		"another does not vote yet":               {peerEdit(joining).on(view("a", three, "b", "c"), "c"), false},
		"a newcomer may take its place":           {view("a", three, "b", "c", "d"), false},
		"one with a higher address leaves too":    {peerEdit(leaving).on(view("a", three, "b", "c"), "b"), true},
		"one with a lower address leaves too":     {peerEdit(leaving).on(view("b", three, "a", "c"), "a"), false},
		"it is not a member any more":             {view("x", three, "a"), true},
		"its replacement has begun and not ended": {view("a", keystore.Members{Number: 5, Present: three.Present, Next: []string{"d", "b", "c"}}, "b", "c", "d"), false},
	}
	for name, one := range cases {
		assert.Equal(t, membership.MayLeave(one.seen), one.may, name)
	}
}

func TestGivenFoundersThenAllOfThemVoteOnlyUnderTheFoundingListAndOnceEachWasHeardToVote(t *testing.T) {
	founding := keystore.FoundingList([]string{"a", "b", "c"})
	assert.Assert(t, membership.FoundersVote(view("a", founding, "b", "c")))
	assert.Assert(t, !membership.FoundersVote(view("a", founding, "b")), "c was never heard")
	assert.Assert(t, !membership.FoundersVote(peerEdit(joining).on(view("a", founding, "b", "c"), "c")), "c does not vote")
	assert.Assert(t, !membership.FoundersVote(view("a", three, "b", "c")), "the list was changed")
}
