package replica

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestInstruction_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"placement order": new(Instruction),
		"report":          new(State),
	})
}

func TestCalls_PathsHeadersAndWordsStayTheSame(t *testing.T) {
	told := map[string]string{}
	for name, call := range Calls {
		told[name] = call.Method + " " + call.Path + " within " + call.Bound.String()
	}
	pinned.CheckJSON(t, "testdata/calls.json", map[string]any{
		"calls":      told,
		"operations": []string{OperationLoad, OperationUnload},
		"headers": map[string]string{
			"attempt": HeaderAttempt, "seal": HeaderSeal, "target": HeaderTarget, "not executed": HeaderNotExecuted,
			"identity": HeaderIdentity, "remaining": HeaderRemaining, "urgency": HeaderUrgency, "model": HeaderModel,
			"tokens": HeaderTokens, "prefix": HeaderPrefix, "last event": HeaderLastEvent, "cold": HeaderCold,
			"tenant": HeaderTenant, "key": HeaderKey, "own": protocolPrefix,
		},
		"headers of a hop": hopHeaders,
	})
}
