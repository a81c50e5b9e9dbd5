package peer

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestMessages_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"poll":                     new(WatchRequest),
		"order to forget":          new(PurgeOrder),
		"news of context":          new(ContextUpdate),
		"state of a zone":          new(ZoneState),
		"news":                     new(WatchResponse),
		"neighbours":               new(Neighbours),
		"neighbour":                new(Neighbour),
		"load of a model":          new(ModelLoad),
		"outcomes":                 new(Outcomes),
		"load of a replica":        new(ReplicaLoad),
		"load report":              new(LoadReport),
		"load of the fleet":        new(FleetLoad),
		"load sum":                 new(LoadSummary),
		"outcomes by zone":         new(ZoneOutcomes),
		"dense sums":               new(PackedLoads),
		"answer to a load sum":     new(LoadSummaryReply),
		"rate":                     new(Rate),
		"share of the roster":      new(RosterUpdate),
		"update of a key":          new(KeyUpdate),
		"greeting":                 new(Heartbeat),
		"name of a part":           new(EndpointKey),
		"holder of a part":         new(Endpoint),
		"part":                     new(EndpointSet),
		"question to follow parts": new(SubscribeRequest),
		"answer on followed parts": new(SubscribeResponse),
		"call of an application":   new(CoordinationRequest),
		"answer to such a call":    new(CoordinationReply),
	})
}

func TestMethods_PathsAndTimeoutsStayTheSame(t *testing.T) {
	described := map[string]string{}
	for method := range timeouts {
		described[string(method)] = method.Path() + " within " + method.Timeout().String()
	}
	pinned.CheckJSON(t, "testdata/calls.json", described)
}
