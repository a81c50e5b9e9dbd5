// Package apierror defines the errors of the HTTP APIs and maps each to its HTTP status and reason.
//
// Error responses written by this package never have a replica's seal. Start reading at Kind.
package apierror

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an error, which determines the HTTP status and the reason in the response.
type Kind int

// The kinds of errors. Those with status 503 guarantee that the request was not executed and never will be.
const (
	Internal               Kind = iota // internal error of the program
	MalformedRequest                   // the request cannot be parsed
	InvalidAttemptID                   // Ferryspar-Attempt-Id is missing or malformed
	UnknownRoute                       // no route matches host and path
	UnknownPath                        // the API has no such path
	MethodNotAllowed                   // the API has the path, but not with this method
	RequestTooSlow                     // the request did not arrive within its limit
	BodyTooLarge                       // the body exceeds the limit
	HeaderTooLarge                     // the header exceeds the limit
	InvalidConfiguration               // the submitted configuration is invalid
	VersionConflict                    // If-Match is not the committed version
	UncertainWrite                     // a write may or may not take effect
	NoMajority                         // no majority of the keystore members responds
	UnknownZone                        // the zone is not configured
	CallTooOld                         // too old to determine whether the call was accepted before
	CallExpired                        // the call arrived after its deadline
	Overloaded                         // no replica became available in time
	ModelNotLoaded                     // no replica loaded the model in time
	NotExecuted                        // the replica confirmed that it did not execute the request
	ReplicaFailed                      // the replica aborted its response
	ReplicaTimeout                     // the replica did not respond in time
	ShuttingDown                       // the process is draining
	NoConfiguration                    // no configuration has been received yet
	InvalidRetention                   // the retention request is invalid
	InvalidDrill                       // the drill request is invalid
	UnknownRegion                      // the region is not configured
	DrillInProgress                    // another drill is running
	InvalidAPIKey                      // the API key is missing or unknown
	TenantRateLimited                  // the tenant exceeds its rate limit
	StaleConfiguration                 // a newer configuration may allow the request
	StaleAPIKeys                       // API keys may have been revoked since the last update
	QuotaUnknown                       // the tenant's remaining quota is unknown to the node
	LockHeld                           // another caller holds or may hold the lock
	LockNotHeld                        // the caller does not hold the lock
	KeyNotFound                        // the key has no value
	HistoryExpired                     // changes since the requested revision were discarded
	CoordinationFull                   // no capacity for the item or value
	CoordinationOverloaded             // too many calls are queued for the item
	OutcomeUnknown                     // the call may or may not have taken effect
	UnsupportedCoding                  // the body has a transfer coding that the server does not implement
	BodyMemoryExceeded                 // the request bodies of all clients together exceed the memory for them

	kindCount
)

// response is the HTTP status and reason of a kind.
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
	// 429 gives the same guarantee as 503.
	CoordinationFull:       {http.StatusTooManyRequests, "no room"},
	CoordinationOverloaded: {http.StatusTooManyRequests, "too many calls wait"},
	OutcomeUnknown:         {http.StatusGatewayTimeout, "outcome of the call not known"},
	UnsupportedCoding:      {http.StatusNotImplemented, "transfer coding not supported"},
	BodyMemoryExceeded:     {http.StatusServiceUnavailable, "too many bytes of bodies are held"},
}

// Status returns the HTTP status of the kind.
func (k Kind) Status() int { return responses[k].status }

// Reason returns the reason text of the kind.
func (k Kind) Reason() string { return responses[k].reason }

// GuaranteesNotExecuted reports whether a response of the kind guarantees that the request was not executed and never will be.
// A request that may have been sent to a replica must not be answered with such a kind, because clients retry it.
func (k Kind) GuaranteesNotExecuted() bool {
	return k == InvalidAPIKey || k.Status() == http.StatusTooManyRequests || k.Status() == http.StatusServiceUnavailable
}

// Error is an error that is reported to the caller of an API.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter, if above 0, is the delay sent in the Retry-After header.
	RetryAfter time.Duration
}

// Error returns the reason, followed by the detail if there is one.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.Reason()
	}
	return e.Kind.Reason() + ": " + e.Detail
}

// New returns an error with a detail formatted as by fmt.Sprintf.
func New(kind Kind, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, arguments...)}
}

// MinRetryAfter is the shortest Retry-After: the caller's next attempt needs a new connection anyway.
const MinRetryAfter = 50 * time.Millisecond

// NewRetryAtOnce returns an error that asks the caller to retry as soon as it has a new connection, since another node, or a new request,
// may be served.
func NewRetryAtOnce(kind Kind) *Error { return NewRetryable(kind, MinRetryAfter) }

// NewRetryable returns an error that asks the caller to retry after the delay.
func NewRetryable(kind Kind, retryAfter time.Duration) *Error {
	return &Error{Kind: kind, RetryAfter: retryAfter}
}

// From returns the first *Error in the chain of err, or an error of kind Internal if there is none.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// sealHeader is the header by which clients recognize responses of replicas.
const sealHeader = "Ferryspar-Server-Seal"

// body is the JSON body of an error response.
type body struct {
	Error string `json:"error"`
}

// Write writes an error response. It removes a replica's seal from the header, because clients would otherwise take the
// response for the replica's.
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
