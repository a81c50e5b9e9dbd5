package dataplane

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/match"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

type deskStory struct {
	state *FleetState
	fleet *atomic.Pointer[match.Snapshot]
	now   time.Time
}

func newDeskStory() *deskStory {
	told := &deskStory{fleet: &atomic.Pointer[match.Snapshot]{}, now: time.Unix(1000, 0)}
	settings := nodesettings.Settings{NodeName: "edge", Zone: "north", Zones: map[string]string{"north": "land", "south": "land"}}
	told.state = NewFleetState(settings, func() time.Time { return told.now }, told.fleet, func() {})
	return told
}

func partOf(model string, version uint64, draining bool, ids ...string) peer.Part {
	part := peer.Part{PartName: peer.PartName{Backend: "s", Model: model}, Version: version}
	for _, id := range ids {
		part.Holders = append(part.Holders, peer.Holder{ID: id, Address: "at-" + id, Zone: "south", Slots: 4, Draining: draining})
	}
	return part
}

func (s *deskStory) hear(address, zone string, roster uint64, parts ...peer.Part) {
	news := peer.News{Life: "life-" + address, Proven: true, FreshMs: 1000, Zone: zone, Roster: roster, Parts: parts, RosterAge: 10}
	if s.state.hear(heard{address: address, news: news, asked: s.now, at: s.now}) {
		s.state.publish()
	}
}

func (s *deskStory) follow(address string, whole bool, number uint64, parts ...peer.Part) {
	question := peer.FollowRequest{Number: number, Whole: whole}
	for _, part := range parts {
		question.Add = append(question.Add, part.PartName)
	}
	if s.state.followed(answered{address: address, question: question, asked: s.now, at: s.now, answer: peer.FollowReply{Life: "life-" + address, FreshMs: 1000, Roster: 9, Parts: parts}}) {
		s.state.publish()
	}
}

func (s *deskStory) models() map[string][]string {
	held := map[string][]string{}
	for _, replica := range s.fleet.Load().Replicas {
		for model := range replica.Models {
			held[model] = append(held[model], replica.ID)
		}
	}
	return held
}

func TestGivenPartsOfAnEarlierLifeWhenAllIsFollowedAnewThenOnlyThatIsUsed(t *testing.T) {
	s := newDeskStory()
	s.hear("near", "north", 7, partOf("old", 7, false, "i-1"))
	assert.Equal(t, len(s.models()), 0, "nothing is used before it is followed whole")
	s.follow("near", true, 1, partOf("fresh", 8, false, "i-2"))
	assert.DeepEqual(t, s.models(), map[string][]string{"fresh": {"i-2"}})
}

func TestGivenNewsOutOfOrderThenTheNewerPartStays(t *testing.T) {
	s := newDeskStory()
	s.hear("near", "north", 7)
	s.follow("near", true, 1, partOf("one", 8, true, "i-1"))
	s.hear("near", "north", 7, partOf("one", 6, false, "i-1"))
	assert.Assert(t, s.fleet.Load().Replicas[0].Draining)
	s.hear("near", "north", 12, partOf("one", 12, false, "i-1", "i-2"))
	assert.Equal(t, len(s.models()["one"]), 2)
}

func TestGivenAReplicaInTwoPartsThenItsNewestFactsCount(t *testing.T) {
	s := newDeskStory()
	s.hear("near", "north", 7)
	s.follow("near", true, 1, partOf("one", 4, false, "i-1"), partOf("two", 8, true, "i-1"))
	assert.Equal(t, len(s.fleet.Load().Replicas), 1)
	assert.Assert(t, s.fleet.Load().Replicas[0].Draining)
	assert.Equal(t, len(s.fleet.Load().Replicas[0].Models), 2)
}

func TestGivenAnotherMemberThenItsPartsAreUsedOnlyOnceWhole(t *testing.T) {
	s := newDeskStory()
	s.hear("near", "north", 7)
	s.follow("near", true, 1, partOf("one", 8, false, "i-1"))
	s.now = s.now.Add(distrustAfter)
	s.hear("far", "south", 3, partOf("one", 3, false, "i-9"))
	s.state.choose()
	assert.Equal(t, *s.state.wants.primary.Load(), "far")
	assert.DeepEqual(t, s.models()["one"], []string{"i-1"})
	s.follow("far", true, 1, partOf("one", 3, false, "i-2"))
	assert.DeepEqual(t, s.models()["one"], []string{"i-2"})
	s.hear("near", "north", 20, partOf("one", 20, false, "i-1"))
	assert.DeepEqual(t, s.models()["one"], []string{"i-2"})
}

func TestGivenAMemberAheadForAMomentThenPartsStayWhereTheyAre(t *testing.T) {
	s := newDeskStory()
	s.hear("near", "north", 7)
	s.follow("near", true, 1, partOf("one", 8, false, "i-1"))
	ahead := peer.News{Life: "life-far", Proven: true, FreshMs: 1000, Zone: "south", Revision: 5}
	s.state.hear(heard{address: "far", news: ahead, asked: s.now, at: s.now})
	assert.Equal(t, *s.state.wants.primary.Load(), "near")
	s.now = s.now.Add(behindPause + time.Millisecond)
	s.state.choose()
	assert.Equal(t, *s.state.wants.primary.Load(), "far", "the near one stays behind")
}

func TestGivenManyModelsThenTheLeastRecentAreLetGo(t *testing.T) {
	now := time.Unix(1000, 0)
	interest := NewInterest(func() time.Time { return now })
	for index := range interestBound + 3 {
		now = now.Add(time.Millisecond)
		interest.Want("s", string(rune('a'+index%26))+time.Duration(index).String())
	}
	add, drop := interest.Take()
	assert.Equal(t, len(add), interestBound+3)
	assert.Equal(t, len(drop), 3)
	assert.Equal(t, drop[0], add[0])
	now = now.Add(wantedFor + time.Second)
	interest.Want("s", "late")
	add, drop = interest.Take()
	assert.Equal(t, len(add), 1)
	assert.Equal(t, len(drop), interestBound)
	assert.DeepEqual(t, interest.Whole(), add)
}

func TestGivenMembersThatDoNotKnowTheCountYetThenItIsKeptOrTakenHigh(t *testing.T) {
	s := newDeskStory()
	told := func(address string, edges int) {
		s.state.hear(heard{address: address, news: peer.News{Life: address, Proven: true, FreshMs: 1000, Edges: edges}, asked: s.now, at: s.now})
	}
	assert.Equal(t, s.state.count(), uncounted, "nobody told it")
	told("near", 80)
	told("far", 79)
	assert.Equal(t, s.state.count(), 80)
	told("near", 0)
	told("far", 0)
	assert.Equal(t, s.state.count(), 80, "all members are new")
	told("near", 3)
	assert.Equal(t, s.state.count(), 80, "they have not heard of all yet")
	s.now = s.now.Add(countKept + time.Second)
	told("near", 60)
	assert.Equal(t, s.state.count(), 60)
}
