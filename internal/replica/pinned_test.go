package replica

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestMessages_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"placement order": new(Order),
		"report":          new(Report),
	})
}

func TestProtocol_WireNamesStayTheSame(t *testing.T) {
	endpoints := map[string]string{}
	for name, endpoint := range map[string]Endpoint{"order": OrderEndpoint, "report": ReportEndpoint} {
		endpoints[name] = endpoint.Method + " " + endpoint.Path + " within " + endpoint.Timeout.String()
	}
	pinned.CheckJSON(t, "testdata/calls.json", map[string]any{
		"calls":      endpoints,
		"operations": []string{OperationLoad, OperationUnload},
		"headers": map[string]string{
			"attempt": HeaderAttemptID, "seal": HeaderSeal, "target": HeaderTargetReplica, "not executed": HeaderNotExecuted,
			"identity": HeaderReplicaID, "remaining": HeaderTimeRemaining, "urgency": HeaderUrgency, "model": HeaderModel,
			"tokens": HeaderTokenCount, "prefix": HeaderPromptPrefix, "last event": HeaderLastEventID, "cold": HeaderWarmUpRemaining,
			"tenant": HeaderTenant, "key": HeaderAPIKey, "own": protocolPrefix,
		},
		"headers of a hop": hopByHopHeaders,
	})
}
