package apierror

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

// labeledKinds lists all kinds in numerical order, with their labels in testdata/answers.json.
var labeledKinds = []struct {
	label string
	kind  Kind
}{
	{"internal", Internal},
	{"malformed request", MalformedRequest},
	{"missing attempt", InvalidAttemptID},
	{"unknown route", UnknownRoute},
	{"unknown path", UnknownPath},
	{"wrong method", MethodNotAllowed},
	{"slow request", RequestTooSlow},
	{"large body", BodyTooLarge},
	{"large head", HeaderTooLarge},
	{"invalid configuration", InvalidConfiguration},
	{"stale configuration", VersionConflict},
	{"uncertain write", UncertainWrite},
	{"no majority", NoMajority},
	{"unknown zone", UnknownZone},
	{"forgotten call", CallTooOld},
	{"late call", CallExpired},
	{"overloaded", Overloaded},
	{"unplaced", ModelNotLoaded},
	{"not executed", NotExecuted},
	{"replica failed", ReplicaFailed},
	{"replica silent", ReplicaTimeout},
	{"leaving", ShuttingDown},
	{"no configuration", NoConfiguration},
	{"invalid retention", InvalidRetention},
	{"invalid rehearsal", InvalidDrill},
	{"unknown region", UnknownRegion},
	{"rehearsal under way", DrillInProgress},
	{"unknown key", InvalidAPIKey},
	{"tenant limit", TenantRateLimited},
	{"dated configuration", StaleConfiguration},
	{"dated keys", StaleAPIKeys},
	{"quota unknown", QuotaUnknown},
	{"lock held", LockHeld},
	{"lock lost", LockNotHeld},
	{"unknown cell", KeyNotFound},
	{"history expired", HistoryExpired},
	{"coordination full", CoordinationFull},
	{"coordination overloaded", CoordinationOverloaded},
	{"outcome unknown", OutcomeUnknown},
	{"unsupported transfer coding", UnsupportedCoding},
	{"body memory", BodyMemoryExceeded},
}

// errorResponse is an error response as written to the client.
type errorResponse struct {
	Status     int               `json:"status"`
	Body       string            `json:"body"`
	Headers    map[string]string `json:"headers"`
	NeverRan   bool              `json:"neverRan"`
	Detailed   string            `json:"detailed"`
	RetryAfter string            `json:"retryAfter"`
}

func responseOf(kind Kind) errorResponse {
	plain, detailed, retryable := httptest.NewRecorder(), httptest.NewRecorder(), httptest.NewRecorder()
	plain.Header().Set("Ferryspar-Server-Seal", "seal")
	Write(plain, New(kind, ""))
	Write(detailed, New(kind, "%s", "detail"))
	Write(retryable, NewRetryable(kind, 1500*time.Millisecond))
	headers := map[string]string{}
	for name := range plain.Header() {
		headers[name] = plain.Header().Get(name)
	}
	retryAfter := retryable.Header().Get("Retry-After")
	return errorResponse{plain.Code, plain.Body.String(), headers, kind.GuaranteesNotExecuted(), detailed.Body.String(), retryAfter}
}

func TestWrite_AnswersStayTheSame(t *testing.T) {
	assert.Equal(t, len(labeledKinds), len(responses), "a kind is missing here")
	answers := map[string]errorResponse{}
	for position, entry := range labeledKinds {
		assert.Equal(t, int(entry.kind), position, entry.label)
		answers[fmt.Sprintf("%02d %s", position, entry.label)] = responseOf(entry.kind)
	}
	assert.Equal(t, len(answers), len(responses))
	pinned.CheckJSON(t, "testdata/answers.json", answers)
}

func TestWrite_AnyOtherErrorIsInternal(t *testing.T) {
	recorder := httptest.NewRecorder()
	Write(recorder, errors.New("something else"))
	assert.Equal(t, recorder.Code, 500)
	assert.Equal(t, recorder.Body.String(), `{"error":"internal fault: something else"}`)
}
