package coordinationapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
	"ferryspar/internal/coordination"
	"ferryspar/internal/httppath"
)

// Paths of the API. The name of a lock, counter, key or group follows.
const (
	PathLocks   = "/ferryspar/locks/"
	PathNumbers = "/ferryspar/numbers/"
	PathKeys    = "/ferryspar/cells/"
	PathWatch   = "/ferryspar/watch/"
)

const (
	// maxBodyBytes is the size of the largest body that is read: the longest value, escaped, with what surrounds it.
	maxBodyBytes = 8*coordination.MaxValueBytes + 4096
	// maxWait is the longest time that a watch waits; one that asks for more is answered then.
	maxWait = 30 * time.Second
)

// Service carries out calls. Its methods may be called from any goroutine; their errors are of package apierror.
type Service interface {
	Do(ctx context.Context, call coordination.Call) (coordination.Result, error)
	// Watch returns the puts of a group after a revision, see coordinator.Watches.
	Watch(ctx context.Context, group string, after uint64, wait time.Duration) (coordination.Result, error)
	// Items lists the items as this node's disk has them.
	Items() []coordination.ItemSummary
	// WatchCounts counts the watches that wait here, by group.
	WatchCounts() map[string]int
}

// api is the handler of the calls.
type api struct {
	service Service
}

// Register adds the calls to a router.
func Register(router chi.Router, service Service) {
	a := &api{service: service}
	router.Post(PathLocks+"{name}", a.lockCall(coordination.OperationAcquire))
	router.Put(PathLocks+"{name}", a.lockCall(coordination.OperationRenew))
	router.Delete(PathLocks+"{name}", a.lockCall(coordination.OperationRelease))
	router.Post(PathNumbers+"{name}", a.next)
	router.Put(PathKeys+"{name}", a.put)
	router.Get(PathKeys+"{name}", a.get)
	router.Get(PathWatch+"{name}", a.watch)
	a.registerOperators(router)
}

// LockRequest is the body of the calls on locks.
type LockRequest struct {
	Holder string `json:"leaseHolder"`
	Fence  uint64 `json:"fenceToken"`
	TTLMs  int64  `json:"queueHoldMs"`
}

// LockReply is the body of a lock that was taken.
type LockReply struct {
	Fence uint64 `json:"fenceToken"`
}

func (a *api) lockCall(operation coordination.Operation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body LockRequest
		if err := readBody(writer, request, &body); err != nil {
			apierror.Write(writer, err)
			return
		}
		result, err := a.do(request, coordination.Call{
			Operation: operation,
			Kind:      coordination.KindLock,
			Holder:    body.Holder,
			Fence:     body.Fence,
			TTLMs:     body.TTLMs,
		})
		if err != nil {
			apierror.Write(writer, err)
			return
		}
		if operation == coordination.OperationAcquire {
			writeJSON(writer, http.StatusOK, LockReply{Fence: result.Fence})
			return
		}
		writeJSON(writer, http.StatusOK, struct{}{})
	}
}

// NumberReply is the body of a number that was drawn.
type NumberReply struct {
	Value uint64 `json:"value"`
}

func (a *api) next(writer http.ResponseWriter, request *http.Request) {
	result, err := a.do(request, coordination.Call{Operation: coordination.OperationNext, Kind: coordination.KindCounter})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, NumberReply{Value: result.Number})
}

// PutRequest is the body of a put. A missing ExpectedRevision accepts any revision.
type PutRequest struct {
	Value            *string `json:"value"`
	ExpectedRevision *uint64 `json:"expectedCount"`
}

// PutReply names the revision of a key.
type PutReply struct {
	Revision uint64 `json:"entityTag"`
}

func (a *api) put(writer http.ResponseWriter, request *http.Request) {
	var body PutRequest
	err := readBody(writer, request, &body)
	if err == nil && body.Value == nil {
		err = apierror.New(apierror.MalformedRequest, "value is missing")
	}
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	result, err := a.do(request, coordination.Call{
		Operation:        coordination.OperationPut,
		Kind:             coordination.KindGroup,
		Value:            *body.Value,
		ExpectedRevision: body.ExpectedRevision,
	})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	status := http.StatusOK
	if result.Outcome == coordination.OutcomeConflict {
		status = http.StatusPreconditionFailed
	}
	writeJSON(writer, status, PutReply{Revision: result.Revision})
}

// ValueReply is the body of a key that was read.
type ValueReply struct {
	Value    string `json:"value"`
	Revision uint64 `json:"entityTag"`
}

func (a *api) get(writer http.ResponseWriter, request *http.Request) {
	result, err := a.do(request, coordination.Call{Operation: coordination.OperationGet, Kind: coordination.KindGroup})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, ValueReply{Value: result.Value, Revision: result.Revision})
}

// do carries out a call on the item that the path names, and returns the outcomes that have no body of their own as errors.
func (a *api) do(request *http.Request, call coordination.Call) (coordination.Result, error) {
	name, err := httppath.Parameter(request, "name")
	if err != nil {
		return coordination.Result{}, err
	}
	call.Name = name
	if err := call.Validate(); err != nil {
		return coordination.Result{}, apierror.New(apierror.MalformedRequest, "%s", err.Error())
	}
	result, err := a.service.Do(request.Context(), call)
	if err != nil {
		return result, err
	}
	if kind, isError := outcomeErrors[result.Outcome]; isError {
		return result, apierror.New(kind, "%s", name)
	}
	return result, nil
}

// outcomeErrors are the outcomes that are answered with an error.
var outcomeErrors = map[coordination.Outcome]apierror.Kind{
	coordination.OutcomeHeld:     apierror.LockHeld,
	coordination.OutcomeLost:     apierror.LockLost,
	coordination.OutcomeNotFound: apierror.UnknownCell,
	coordination.OutcomeFull:     apierror.CoordinationFull,
}

// WatchReply is the body of a watch that was answered.
type WatchReply struct {
	Events   []WatchEvent `json:"events"`
	Revision uint64       `json:"entityTag"`
}

// WatchEvent is one put of a key.
type WatchEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"entityTag"`
}

func (a *api) watch(writer http.ResponseWriter, request *http.Request) {
	group, err := httppath.Parameter(request, "name")
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	after, wait, err := watchQuery(request)
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	if coordination.GroupOf(group) != group {
		apierror.Write(writer, apierror.New(apierror.MalformedRequest, "%q is no group: a group ends with its first dot", group))
		return
	}
	result, err := a.service.Watch(request.Context(), group, after, wait)
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	reply := WatchReply{Events: []WatchEvent{}, Revision: result.Revision}
	for _, event := range result.Events {
		reply.Events = append(reply.Events, WatchEvent{Name: event.Name, Value: event.Value, Revision: event.Revision})
	}
	writeJSON(writer, http.StatusOK, reply)
}

// watchQuery reads after and waitMs, which are 0 if they are missing.
func watchQuery(request *http.Request) (after uint64, wait time.Duration, err error) {
	query := request.URL.Query()
	if text := query.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, apierror.New(apierror.MalformedRequest, "after must be a whole number")
		}
	}
	if text := query.Get("waitMs"); text != "" {
		waitMs, err := strconv.ParseFloat(text, 64)
		if err != nil || !(waitMs >= 0) {
			return 0, 0, apierror.New(apierror.MalformedRequest, "waitMs must be a number, 0 or more")
		}
		wait = time.Duration(min(waitMs, float64(maxWait.Milliseconds())) * float64(time.Millisecond))
	}
	return after, wait, nil
}

func readBody(writer http.ResponseWriter, request *http.Request, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err := decoder.Decode(body); err != nil {
		return apierror.New(apierror.MalformedRequest, "body: %s", err.Error())
	}
	return nil
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(status)
	_, _ = writer.Write(content)
}
