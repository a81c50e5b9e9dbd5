package peer

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestMessages_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"poll":                     new(Poll),
		"order to forget":          new(Forget),
		"news of context":          new(ContextNews),
		"state of a zone":          new(ZoneState),
		"news":                     new(News),
		"neighbours":               new(Neighbours),
		"neighbour":                new(Neighbour),
		"load of a model":          new(ModelLoad),
		"outcomes":                 new(Outcomes),
		"load of a replica":        new(ReplicaLoad),
		"load report":              new(LoadReport),
		"load of the fleet":        new(FleetLoad),
		"load sum":                 new(LoadSum),
		"outcomes by zone":         new(ZoneOutcomes),
		"dense sums":               new(DenseSums),
		"answer to a load sum":     new(LoadSumReply),
		"rate":                     new(Rate),
		"share of the roster":      new(RosterShare),
		"update of a key":          new(KeyUpdate),
		"greeting":                 new(Greeting),
		"name of a part":           new(PartName),
		"holder of a part":         new(Holder),
		"part":                     new(Part),
		"question to follow parts": new(FollowRequest),
		"answer on followed parts": new(FollowReply),
	})
}

func TestCalls_PathsAndBoundsStayTheSame(t *testing.T) {
	told := map[string]string{}
	for name, call := range Calls {
		told[name] = call.Path + " within " + call.Bound.String()
	}
	pinned.CheckJSON(t, "testdata/calls.json", told)
}
