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

// newView returns the view of self in which the live addresses are heard and every other member is suspected by self and by
// all live ones.
func newView(self string, current keystore.Membership, live ...string) membership.View {
	view := membership.View{
		Membership:     current,
		Self:           self,
		DesiredMembers: 3,
		Peers:          map[string]membership.Peer{self: {Address: self, MembershipVersion: current.Version}},
	}
	var suspects []string
	for _, member := range current.All() {
		if member != self && !slices.Contains(live, member) {
			suspects = append(suspects, member)
		}
	}
	for _, address := range live {
		view.Peers[address] = membership.Peer{
			Address:           address,
			SinceLastHeard:    heard,
			MembershipVersion: current.Version,
			Suspects:          suspects,
		}
	}
	return view
}

// peerEdit changes what a view knows of a peer.
type peerEdit func(peer *membership.Peer)

// on applies the edit to a peer of the view and returns the view.
func (e peerEdit) on(view membership.View, address string) membership.View {
	peer := view.Peers[address]
	e(&peer)
	view.Peers[address] = peer
	return view
}

func joining(peer *membership.Peer)    { peer.Joining = true }
func leaving(peer *membership.Peer)    { peer.Leaving = true }
func noSuspects(peer *membership.Peer) { peer.Suspects = nil }

func caughtUpUnder(version uint64) peerEdit {
	return func(peer *membership.Peer) { peer.MembershipVersion = version }
}

var (
	threeMembers = keystore.Membership{Version: 4, Current: []string{"a", "b", "c"}}
	fiveMembers  = keystore.Membership{Version: 7, Current: []string{"a", "b", "c", "d", "e"}}
	// jointChange replaces a by d.
	jointChange = keystore.Membership{Version: 5, Current: []string{"a", "b", "c"}, Next: []string{"d", "b", "c"}}
)

func TestNextChange_ReplacesLostMemberByJointChange(t *testing.T) {
	change, due := membership.NextChange(peerEdit(joining).on(newView("b", threeMembers, "c", "d"), "d"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, jointChange)
	_, due = membership.NextChange(newView("b", threeMembers, "c"))
	assert.Assert(t, !due, "there is no newcomer")
	_, due = membership.NextChange(newView("a", threeMembers, "b", "c", "d"))
	assert.Assert(t, !due, "no member is lost")
}

func TestNextChange_IgnoresFailedLinkBetweenMembers(t *testing.T) {
	view := newView("a", threeMembers, "c", "d")
	peerEdit(noSuspects).on(view, "c")
	_, due := membership.NextChange(view)
	assert.Assert(t, !due, "c hears b")
}

func TestNextChange_ReplacesLongestLostFirst(t *testing.T) {
	view := newView("a", fiveMembers, "b", "c", "f")
	view.Peers["d"] = membership.Peer{Address: "d", SinceLastHeard: lost}
	view.Peers["e"] = membership.Peer{Address: "e", SinceLastHeard: 2 * lost}
	change, due := membership.NextChange(view)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership.Next, []string{"a", "b", "c", "d", "f"})
}

func TestNextChange_ReplacesLostBeforeLeaving(t *testing.T) {
	view := peerEdit(leaving).on(newView("b", fiveMembers, "a", "c", "d", "f"), "a")
	change, due := membership.NextChange(view)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership.Next, []string{"a", "b", "c", "d", "f"})
	change, _ = membership.NextChange(peerEdit(leaving).on(newView("b", fiveMembers, "a", "c", "d", "e", "f"), "a"))
	assert.DeepEqual(t, change.Membership.Next, []string{"f", "b", "c", "d", "e"})
}

func TestNextChange_FinishesOnceNewcomerCaughtUp(t *testing.T) {
	_, due := membership.NextChange(caughtUpUnder(3).on(newView("b", jointChange, "c", "d"), "d"))
	assert.Assert(t, !due, "it votes only under an older version")
	change, due := membership.NextChange(caughtUpUnder(5).on(newView("b", jointChange, "c", "d"), "d"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{Version: 6, Current: []string{"d", "b", "c"}})
	change, due = membership.NextChange(newView("b", jointChange, "c"))
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{Version: 6, Current: []string{"a", "b", "c"}})
}

func TestNextChange_RollsBackWithoutMajorityOfNextMembers(t *testing.T) {
	view := peerEdit(joining).on(newView("b", jointChange, "a", "d"), "d")
	change, due := membership.NextChange(view)
	assert.Assert(t, due, "c is lost and d does not vote")
	assert.Assert(t, jointChange.IsRolledBackBy(change.Membership))
	assert.Assert(t, change.StabilizationDelay > 0, "d may gain its vote")
	_, due = membership.NextChange(peerEdit(joining).on(newView("b", jointChange, "a", "c", "d"), "d"))
	assert.Assert(t, !due, "b and c are a majority")
	change, due = membership.NextChange(newView("b", jointChange, "a"))
	assert.Assert(t, due, "c and d are lost")
	assert.Assert(t, jointChange.IsRolledBackBy(change.Membership))
	assert.Equal(t, change.StabilizationDelay, time.Duration(0))
}

func TestNextChange_KeepsNewcomerThatOthersHear(t *testing.T) {
	view := newView("b", jointChange, "a", "c")
	for _, member := range []string{"a", "c"} {
		peerEdit(noSuspects).on(view, member)
	}
	_, due := membership.NextChange(view)
	assert.Assert(t, !due)
}

func TestNextChange_AddsOneMemberAtATime(t *testing.T) {
	current := keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}
	view := newView("a", current, "b", "c", "d", "e")
	view.DesiredMembers = 5
	change, due := membership.NextChange(view)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership, keystore.Membership{
		Version: 2,
		Current: []string{"a", "b", "c"},
		Next:    []string{"a", "b", "c", "d"},
	})
	full := newView("a", fiveMembers, "b", "c", "d", "e", "f")
	full.DesiredMembers = 5
	_, due = membership.NextChange(full)
	assert.Assert(t, !due)
}

func TestNextChange_PicksNewcomerInZoneWithFewestMembers(t *testing.T) {
	view := newView("a", threeMembers, "b", "d", "e")
	for address, zone := range map[string]string{"a": "north", "b": "south", "d": "south", "e": "west"} {
		peerEdit(func(peer *membership.Peer) { peer.Zone = zone }).on(view, address)
	}
	change, due := membership.NextChange(view)
	assert.Assert(t, due)
	assert.DeepEqual(t, change.Membership.Next, []string{"a", "b", "e"})
}

func TestProposalDelay_CountsVotersWithLowerAddress(t *testing.T) {
	assert.Equal(t, membership.ProposalDelay(newView("a", threeMembers, "b", "c")), time.Duration(0))
	assert.Equal(t, membership.ProposalDelay(newView("c", threeMembers, "a", "b")), 2*time.Second)
	assert.Equal(t, membership.ProposalDelay(newView("c", threeMembers, "b")), time.Second, "a is suspected")
	withJoiningPeer := peerEdit(joining).on(newView("c", threeMembers, "a", "b"), "b")
	assert.Equal(t, membership.ProposalDelay(withJoiningPeer), time.Second, "b does not vote")
}

func TestMayLeave(t *testing.T) {
	cases := map[string]struct {
		view membership.View
		want bool
	}{
		"a quorum remains":                          {newView("a", threeMembers, "b", "c"), true},
		"another member is down":                    {newView("a", threeMembers, "b"), false},
		"another member does not vote yet":          {peerEdit(joining).on(newView("a", threeMembers, "b", "c"), "c"), false},
		"a newcomer can replace it":                 {newView("a", threeMembers, "b", "c", "d"), false},
		"a member with a higher address leaves too": {peerEdit(leaving).on(newView("a", threeMembers, "b", "c"), "b"), true},
		"a member with a lower address leaves too":  {peerEdit(leaving).on(newView("b", threeMembers, "a", "c"), "a"), false},
		"it is no longer a member":                  {newView("x", threeMembers, "a"), true},
		"its replacement is in progress":            {newView("a", jointChange, "b", "c", "d"), false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, membership.MayLeave(test.view), test.want)
		})
	}
}

func TestBootstrapMembersVote(t *testing.T) {
	initial := keystore.BootstrapMembership([]string{"a", "b", "c"})
	assert.Assert(t, membership.BootstrapMembersVote(newView("a", initial, "b", "c")))
	assert.Assert(t, !membership.BootstrapMembersVote(newView("a", initial, "b")), "c was never heard")
	withJoiningPeer := peerEdit(joining).on(newView("a", initial, "b", "c"), "c")
	assert.Assert(t, !membership.BootstrapMembersVote(withJoiningPeer), "c does not vote")
	assert.Assert(t, !membership.BootstrapMembersVote(newView("a", threeMembers, "b", "c")), "the membership was changed")
}
