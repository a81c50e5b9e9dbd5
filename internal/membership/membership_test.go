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
	lost  = 10 * time.Second
)

// newView is that of self in which the addresses given are heard, and every other member is
// silent to self and to all that are heard.
func newView(self string, current keystore.Membership, live ...string) membership.View {
	seen := membership.View{Current: current, Self: self, DesiredMembers: 3, Peers: map[string]membership.Peer{self: {Address: self, MembershipVersion: current.Version}}}
	var silent []string
	for _, member := range current.All() {
		if member != self && !slices.Contains(live, member) {
			silent = append(silent, member)
		}
	}
	for _, address := range live {
		seen.Peers[address] = membership.Peer{Address: address, SinceLastHeard: heard, MembershipVersion: current.Version, Suspects: silent}
	}
	return seen
}

func (p peerEdit) on(view membership.View, address string) membership.View {
	peer := view.Peers[address]
	p(&peer)
	view.Peers[address] = peer
	return view
}

type peerEdit func(peer *membership.Peer)

func joining(peer *membership.Peer) { peer.Joining = true }
func leaving(peer *membership.Peer) { peer.Leaving = true }

var threeMembers = keystore.Membership{Version: 4, Current: []string{"a", "b", "c"}}

func TestNextChange_ReplacesLostMemberJointly(t *testing.T) {
	change, due := membership.NextChange(peerEdit(joining).on(newView("b", threeMembers, "c", "d"), "d"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{Version: 5, Current: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}})
	_, due = membership.NextChange(newView("b", threeMembers, "c"))
	assert.Assert(t, !due, "nobody to take in")
	_, due = membership.NextChange(newView("a", threeMembers, "b", "c", "d"))
	assert.Assert(t, !due, "nobody is lost")
}

func TestNextChange_IgnoresCutLink(t *testing.T) {
	seen := newView("a", threeMembers, "c", "d")
	peerEdit(func(peer *membership.Peer) { peer.Suspects = nil }).on(seen, "c")
	_, due := membership.NextChange(seen)
	assert.Assert(t, !due, "c hears b")
}

func TestNextChange_ReplacesLongestLostFirst(t *testing.T) {
	five := keystore.Membership{Version: 7, Current: []string{"a", "b", "c", "d", "e"}}
	seen := newView("a", five, "b", "c", "f")
	seen.Peers["d"] = membership.Peer{Address: "d", SinceLastHeard: lost}
	seen.Peers["e"] = membership.Peer{Address: "e", SinceLastHeard: 2 * lost}
	change, due := membership.NextChange(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership.Next, []string{"a", "b", "c", "d", "f"})
}

func TestNextChange_ReplacesLostBeforeLeaving(t *testing.T) {
	five := keystore.Membership{Version: 7, Current: []string{"a", "b", "c", "d", "e"}}
	seen := peerEdit(leaving).on(newView("b", five, "a", "c", "d", "f"), "a")
	change, due := membership.NextChange(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership.Next, []string{"a", "b", "c", "d", "f"})
	change, _ = membership.NextChange(peerEdit(leaving).on(newView("b", five, "a", "c", "d", "e", "f"), "a"))
	assert.DeepEqual(t, change.Membership.Next, []string{"f", "b", "c", "d", "e"})
}

func TestNextChange_FinishesOnceNewcomerCaughtUp(t *testing.T) {
	joint := keystore.Membership{Version: 5, Current: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}}
	number := func(number uint64) peerEdit { return func(peer *membership.Peer) { peer.MembershipVersion = number } }
	_, due := membership.NextChange(number(3).on(newView("b", joint, "c", "d"), "d"))
	assert.Assert(t, !due, "it votes under an older number only")
	change, due := membership.NextChange(number(5).on(newView("b", joint, "c", "d"), "d"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{Version: 6, Current: []string{"d", "b", "c"}})
	change, due = membership.NextChange(newView("b", joint, "c"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{Version: 6, Current: []string{"a", "b", "c"}})
}

func TestNextChange_KeepsNewcomerThatOthersHear(t *testing.T) {
	joint := keystore.Membership{Version: 5, Current: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}}
	seen := newView("b", joint, "a", "c")
	for _, member := range []string{"a", "c"} {
		peerEdit(func(peer *membership.Peer) { peer.Suspects = nil }).on(seen, member)
	}
	_, due := membership.NextChange(seen)
	assert.Assert(t, !due)
}

func TestNextChange_AddsMembersOneByOne(t *testing.T) {
	current := keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}
	seen := newView("a", current, "b", "c", "d", "e")
	seen.DesiredMembers = 5
	change, due := membership.NextChange(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{Version: 2, Current: []string{"a", "b", "c"}, Next: []string{"a", "b", "c", "d"}})
	full := newView("a", keystore.Membership{Version: 5, Current: []string{"a", "b", "c", "d", "e"}}, "b", "c", "d", "e", "f")
	full.DesiredMembers = 5
	_, due = membership.NextChange(full)
	assert.Assert(t, !due)
}

func TestNextChange_PicksNewcomerInEmptiestZone(t *testing.T) {
	seen := newView("a", threeMembers, "b", "d", "e")
	for address, zone := range map[string]string{"a": "north", "b": "south", "d": "south", "e": "west"} {
		peerEdit(func(peer *membership.Peer) { peer.Zone = zone }).on(seen, address)
	}
	change, due := membership.NextChange(seen)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership.Next, []string{"a", "b", "e"})
}

func TestProposalDelay_WaitsForVotersBefore(t *testing.T) {
	assert.Equal(t, membership.ProposalDelay(newView("a", threeMembers, "b", "c")), time.Duration(0))
	assert.Equal(t, membership.ProposalDelay(newView("c", threeMembers, "a", "b")), 2*time.Second)
	assert.Equal(t, membership.ProposalDelay(newView("c", threeMembers, "b")), time.Second, "a is silent")
	assert.Equal(t, membership.ProposalDelay(peerEdit(joining).on(newView("c", threeMembers, "a", "b"), "b")), time.Second, "b does not vote")
}

func TestMayLeave(t *testing.T) {
	cases := map[string]struct {
		seen membership.View
		may  bool
	}{
		"a quorum stays":                          {newView("a", threeMembers, "b", "c"), true},
		"another is down":                         {newView("a", threeMembers, "b"), false},
		"another does not vote yet":               {peerEdit(joining).on(newView("a", threeMembers, "b", "c"), "c"), false},
		"a newcomer may take its place":           {newView("a", threeMembers, "b", "c", "d"), false},
		"one with a higher address leaves too":    {peerEdit(leaving).on(newView("a", threeMembers, "b", "c"), "b"), true},
		"one with a lower address leaves too":     {peerEdit(leaving).on(newView("b", threeMembers, "a", "c"), "a"), false},
		"it is not a member any more":             {newView("x", threeMembers, "a"), true},
		"its replacement has begun and not ended": {newView("a", keystore.Membership{Version: 5, Current: threeMembers.Current, Next: []string{"d", "b", "c"}}, "b", "c", "d"), false},
	}
	for name, one := range cases {
		assert.Equal(t, membership.MayLeave(one.seen), one.may, name)
	}
}

func TestBootstrapMembersVote(t *testing.T) {
	founding := keystore.BootstrapMembership([]string{"a", "b", "c"})
	assert.Assert(t, membership.BootstrapMembersVote(newView("a", founding, "b", "c")))
	assert.Assert(t, !membership.BootstrapMembersVote(newView("a", founding, "b")), "c was never heard")
	assert.Assert(t, !membership.BootstrapMembersVote(peerEdit(joining).on(newView("a", founding, "b", "c"), "c")), "c does not vote")
	assert.Assert(t, !membership.BootstrapMembersVote(newView("a", threeMembers, "b", "c")), "the list was changed")
}
