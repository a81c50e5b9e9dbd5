// Package apierror is the closed list of errors that callers are answered with, and the table from each to
// its HTTP status and reason.
//
// A response written here never carries a replica's seal. Start reading at Kind.
package apierror

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Kind is what went wrong. It decides the HTTP status and the reason that a caller reads.
type Kind int

// The kinds of errors. Those with status 503 promise that a request was not executed and never will be.
const (
	Internal               Kind = iota // a fault of this program
	MalformedRequest                   // the request cannot be parsed
	InvalidAttemptID                   // Ferryspar-Attempt-Id is missing or malformed
	UnknownRoute                       // no route matches host and path
	UnknownPath                        // the API has no such path
	MethodNotAllowed                   // the API has the path, but not with this method
	RequestTooSlow                     // the request did not arrive within its limit
	BodyTooLarge                       // the body exceeds the limit
	HeaderTooLarge                     // the header exceeds the limit
	InvalidConfiguration               // the configuration sent cannot be used
	VersionConflict                    // If-Match names a version that is not the committed one
	UncertainWrite                     // a write may or may not take effect
	NoMajority                         // too few members of the keystore answer
	UnknownZone                        // the configuration names no such zone
	CallTooOld                         // whether the call was accepted before is no longer known
	CallExpired                        // the call arrived after its deadline
	Overloaded                         // no replica is free in time
	ModelNotLoaded                     // no replica loads the model in time
	NotExecuted                        // the replica proved that it did not execute the request
	ReplicaFailed                      // the replica ended its response early
	ReplicaTimeout                     // the replica did not answer in time
	ShuttingDown                       // the process is draining
	NoConfiguration                    // no configuration has arrived yet
	InvalidRetention                   // a retention request cannot be used
	InvalidDrill                       // a drill request cannot be used
	UnknownRegion                      // the configuration names no such region
	DrillInProgress                    // only one drill may run at a time
	InvalidAPIKey                      // the API key is missing or belongs to no tenant
	TenantRateLimited                  // the tenant is above its rate limit
	StaleConfiguration                 // a newer configuration may allow what this one does not
	StaleAPIKeys                       // keys may have been revoked since the last contact
	QuotaUnknown                       // the node does not know the tenant's remaining quota
	LockHeld                           // another holds the lock, or may
	LockNotHeld                        // the caller does not hold the lock
	KeyNotFound                        // no such key was put
	HistoryExpired                     // the puts after that revision are no longer all kept
	CoordinationFull                   // there is no room for the item or the value
	CoordinationOverloaded             // too many calls wait for the item
	OutcomeUnknown                     // the call may or may not have taken effect

	kindCount // of the kinds above
)

// response is how a kind is answered.
type response struct {
	status int
	reason string
}

var responses = map[Kind]response{
	Internal:             {http.StatusInternalServerError, "internal fault"},
	MalformedRequest:     {http.StatusBadRequest, "malformed request"},
	InvalidAttemptID:     {http.StatusBadRequest, "attempt id missing or malformed"},
	UnknownRoute:         {http.StatusNotFound, "no route for this host and path"},
	UnknownPath:          {http.StatusNotFound, "no such path"},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, "method not allowed here"},
	RequestTooSlow:       {http.StatusRequestTimeout, "request came too slowly"},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, "body beyond the limit"},
	HeaderTooLarge:       {http.StatusRequestHeaderFieldsTooLarge, "head beyond the limit"},
	InvalidConfiguration: {http.StatusBadRequest, "configuration invalid"},
	VersionConflict:      {http.StatusPreconditionFailed, "another version is in place"},
	UncertainWrite:       {http.StatusServiceUnavailable, "outcome of the write not known"},
	NoMajority:           {http.StatusServiceUnavailable, "no majority of members reached"},
	UnknownZone:          {http.StatusNotFound, "no such zone"},
	CallTooOld:           {http.StatusServiceUnavailable, "this call is too old to tell whether it was taken"},
	CallExpired:          {http.StatusServiceUnavailable, "the call came too late to be carried out, send it again"},
	Overloaded:           {http.StatusServiceUnavailable, "no replica in time"},
	ModelNotLoaded:       {http.StatusServiceUnavailable, "model not loaded in time"},
	NotExecuted:          {http.StatusServiceUnavailable, "replica did not run the request"},
	ReplicaFailed:        {http.StatusBadGateway, "replica broke off"},
	ReplicaTimeout:       {http.StatusGatewayTimeout, "replica did not answer in time"},
	ShuttingDown:         {http.StatusServiceUnavailable, "daemon is leaving"},
	InvalidRetention:     {http.StatusBadRequest, "retention order invalid"},
	InvalidDrill:         {http.StatusBadRequest, "rehearsal order invalid"},
	UnknownRegion:        {http.StatusNotFound, "no such region"},
	DrillInProgress:      {http.StatusConflict, "another is under way"},
	NoConfiguration:      {http.StatusServiceUnavailable, "no configuration yet"},
	InvalidAPIKey:        {http.StatusUnauthorized, "one known key is needed"},
	TenantRateLimited:    {http.StatusTooManyRequests, "tenant is beyond its limit"},
	StaleConfiguration:   {http.StatusServiceUnavailable, "a newer configuration may allow this"},
	StaleAPIKeys:         {http.StatusServiceUnavailable, "keys may have been taken away since last heard of"},
	QuotaUnknown:         {http.StatusServiceUnavailable, "what the tenant may still send is not known here"},
	LockHeld:             {http.StatusConflict, "another holds the lock"},
	LockNotHeld:          {http.StatusConflict, "the lock is not held by this caller"},
	KeyNotFound:          {http.StatusNotFound, "no such key"},
	HistoryExpired:       {http.StatusGone, "the changes after that revision are no longer kept"},
	// 429 promises what 503 does.
	CoordinationFull:       {http.StatusTooManyRequests, "no room"},
	CoordinationOverloaded: {http.StatusTooManyRequests, "too many calls wait"},
	OutcomeUnknown:         {http.StatusGatewayTimeout, "outcome of the call not known"},
}

// Status is the HTTP status that the kind is answered with.
func (k Kind) Status() int { return responses[k].status }

// Reason is the text that the kind is answered with.
func (k Kind) Reason() string { return responses[k].reason }

// GuaranteesNotExecuted reports whether the response lets its caller rely on it that the request was not
// executed and never will be. Answering with such a kind after a request was sent would make clients
// execute it twice.
func (k Kind) GuaranteesNotExecuted() bool {
	return k == InvalidAPIKey || k.Status() == http.StatusTooManyRequests || k.Status() == http.StatusServiceUnavailable
}

// Error is an error with what its caller is to know.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter, if above 0, is how long the caller is asked to wait.
	RetryAfter time.Duration
}

// Error returns the reason, with the detail if there is any.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.Reason()
	}
	return e.Kind.Reason() + ": " + e.Detail
}

// New returns an error with a detail, formatted as by fmt.Sprintf.
func New(kind Kind, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, arguments...)}
}

// NewRetryable returns an error that asks its caller to wait before it retries.
func NewRetryable(kind Kind, retryAfter time.Duration) *Error {
	return &Error{Kind: kind, RetryAfter: retryAfter}
}

// From returns the Error in a chain; any other error counts as Internal.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// sealHeader marks the responses of replicas.
const sealHeader = "Ferryspar-Server-Seal"

// body is the JSON body of an error response.
type body struct {
	Error string `json:"error"`
}

// Write answers with the error, and without a replica's seal whatever the header held before: a sealed
// response would count as the replica's own.
func Write(writer http.ResponseWriter, err error) {
	found := From(err)
	content, _ := json.Marshal(body{Error: found.Error()})
	header := writer.Header()
	header.Del(sealHeader)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(content)))
	if found.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(found.RetryAfter.Seconds(), 'f', 3, 64))
	}
	writer.WriteHeader(found.Kind.Status())
	_, _ = writer.Write(content)
}
