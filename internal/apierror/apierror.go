// Package apierror is the closed list of errors that callers are answered with, and the table from each to its status
// and reason. An answer written here never bears a replica's seal.
package apierror

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Kind names an error.
type Kind int

// The kinds of errors. Those with status 503 promise that a request has not run and never will.
const (
	Internal Kind = iota
	MalformedRequest
	InvalidAttemptID
	UnknownRoute
	UnknownPath
	MethodNotAllowed
	RequestTooSlow
	BodyTooLarge
	HeaderTooLarge
	InvalidConfiguration
	VersionConflict
	UncertainWrite
	NoMajority
	UnknownZone
	CallTooOld
	CallExpired
	Overloaded
	ModelNotLoaded
	NotExecuted
	ReplicaFailed
	ReplicaTimeout
	ShuttingDown
	NoConfiguration
	InvalidRetention
	InvalidDrill
	UnknownRegion
	DrillInProgress
	UnknownKey
	TenantRateLimited
	OutdatedConfiguration
	OutdatedKeys
	QuotaUnknown
)

type response struct {
	Status int
	Reason string
}

var responses = map[Kind]response{
	Internal:              {http.StatusInternalServerError, "internal fault"},
	MalformedRequest:      {http.StatusBadRequest, "malformed request"},
	InvalidAttemptID:      {http.StatusBadRequest, "attempt id missing or malformed"},
	UnknownRoute:          {http.StatusNotFound, "no route for this host and path"},
	UnknownPath:           {http.StatusNotFound, "no such path"},
	MethodNotAllowed:      {http.StatusMethodNotAllowed, "method not allowed here"},
	RequestTooSlow:        {http.StatusRequestTimeout, "request came too slowly"},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, "body beyond the limit"},
	HeaderTooLarge:        {http.StatusRequestHeaderFieldsTooLarge, "head beyond the limit"},
	InvalidConfiguration:  {http.StatusBadRequest, "configuration invalid"},
	VersionConflict:       {http.StatusPreconditionFailed, "another version is in place"},
	UncertainWrite:        {http.StatusServiceUnavailable, "outcome of the write not known"},
	NoMajority:            {http.StatusServiceUnavailable, "no majority of members reached"},
	UnknownZone:           {http.StatusNotFound, "no such zone"},
	CallTooOld:            {http.StatusServiceUnavailable, "this call is too old to tell whether it was taken"},
	CallExpired:           {http.StatusServiceUnavailable, "the call came too late to be carried out, send it again"},
	Overloaded:            {http.StatusServiceUnavailable, "no replica in time"},
	ModelNotLoaded:        {http.StatusServiceUnavailable, "model not loaded in time"},
	NotExecuted:           {http.StatusServiceUnavailable, "replica did not run the request"},
	ReplicaFailed:         {http.StatusBadGateway, "replica broke off"},
	ReplicaTimeout:        {http.StatusGatewayTimeout, "replica did not answer in time"},
	ShuttingDown:          {http.StatusServiceUnavailable, "daemon is leaving"},
	InvalidRetention:      {http.StatusBadRequest, "retention order invalid"},
	InvalidDrill:          {http.StatusBadRequest, "rehearsal order invalid"},
	UnknownRegion:         {http.StatusNotFound, "no such region"},
	DrillInProgress:       {http.StatusConflict, "another is under way"},
	NoConfiguration:       {http.StatusServiceUnavailable, "no configuration yet"},
	UnknownKey:            {http.StatusUnauthorized, "one known key is needed"},
	TenantRateLimited:     {http.StatusTooManyRequests, "tenant is beyond its limit"},
	OutdatedConfiguration: {http.StatusServiceUnavailable, "a newer configuration may allow this"},
	OutdatedKeys:          {http.StatusServiceUnavailable, "keys may have been taken away since last heard of"},
	QuotaUnknown:          {http.StatusServiceUnavailable, "what the tenant may still send is not known here"},
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

// Status is the HTTP status that the kind is answered with.
func (k Kind) Status() int { return responses[k].Status }

// GuaranteesNotExecuted tells whether the answer lets its caller believe that the request has not run and never will.
func (k Kind) GuaranteesNotExecuted() bool {
	return k == UnknownKey || k == TenantRateLimited || k.Status() == http.StatusServiceUnavailable
}

// Reason says in words what went wrong.
func (k Kind) Reason() string { return responses[k].Reason }

// New returns an error with a detail, formatted as by fmt.Sprintf.
func New(kind Kind, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, arguments...)}
}

// NewRetryable returns an error that asks its caller to wait before it tries again.
func NewRetryable(kind Kind, retryAfter time.Duration) *Error {
	return &Error{Kind: kind, RetryAfter: retryAfter}
}

// From finds the Error in a chain; any other error counts as Internal.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// sealHeader marks the answers of replicas.
const sealHeader = "Ferryspar-Server-Seal"

// Write answers with the error, and without a replica's seal whatever the headers held before.
func Write(writer http.ResponseWriter, err error) {
	found := From(err)
	body, _ := json.Marshal(map[string]string{"error": found.Error()})
	header := writer.Header()
	header.Del(sealHeader)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if found.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(found.RetryAfter.Seconds(), 'f', 3, 64))
	}
	writer.WriteHeader(found.Kind.Status())
	_, _ = writer.Write(body)
}
