package replica

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestInstruction_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"placement order": new(Order),
		"report":          new(Report),
	})
}

func TestCalls_PathsHeadersAndWordsStayTheSame(t *testing.T) {
	told := map[string]string{}
	for name, call := range Endpoints {
		told[name] = call.Method + " " + call.Path + " within " + call.Timeout.String()
	}
	pinned.CheckJSON(t, "testdata/calls.json", map[string]any{
		"calls":      told,
		"operations": []string{OperationLoad, OperationUnload},
		"headers": map[string]string{
			"attempt": HeaderAttempt, "seal": HeaderSeal, "target": HeaderTarget, "not executed": HeaderNotExecuted,
			"identity": HeaderReplicaID, "remaining": HeaderRemaining, "urgency": HeaderUrgency, "model": HeaderModel,
			"tokens": HeaderTokens, "prefix": HeaderPrefix, "last event": HeaderLastEventID, "cold": HeaderWarmUpRemaining,
			"tenant": HeaderTenant, "key": HeaderAPIKey, "own": protocolPrefix,
		},
		"headers of a hop": hopHeaders,
	})
}
