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

// Paths of the API, each followed by the name of a lock, counter, key or group.
const (
	PathLocks   = "/ferryspar/locks/"
	PathNumbers = "/ferryspar/numbers/"
	PathKeys    = "/ferryspar/cells/"
	PathWatch   = "/ferryspar/watch/"
)

const (
	// maxBodyBytes is the maximum size of a request body: the longest value, escaped, and the JSON around it.
	maxBodyBytes = 8*coordination.MaxValueBytes + 4096
	// maxWait is the longest time that a watch waits. A request for more is answered after maxWait.
	maxWait = 30 * time.Second
)

// Service executes calls. Its methods must be safe for concurrent use. Their errors are of package apierror.
type Service interface {
	Do(ctx context.Context, call coordination.Call) (coordination.Result, error)
	// Watch returns the puts to a group after a revision, see coordinator.GroupWatcher.
	Watch(ctx context.Context, group string, after uint64, wait time.Duration) (coordination.Result, error)
	// Items lists the items stored on this node's disk.
	Items() []coordination.ItemSummary
	// WatchCounts returns the number of watches that wait at this node, by group.
	WatchCounts() map[string]int
}

// api implements the HTTP handlers.
type api struct {
	service Service
}

// Register adds the routes of the API to a router.
func Register(router chi.Router, service Service) {
	a := &api{service: service}
	router.Post(PathLocks+"{name}", a.lockHandler(coordination.OperationAcquire))
	router.Put(PathLocks+"{name}", a.lockHandler(coordination.OperationRenew))
	router.Delete(PathLocks+"{name}", a.lockHandler(coordination.OperationRelease))
	router.Post(PathNumbers+"{name}", a.nextNumber)
	router.Put(PathKeys+"{name}", a.put)
	router.Get(PathKeys+"{name}", a.get)
	router.Get(PathWatch+"{name}", a.watch)
	a.registerOperators(router)
}

// LockRequest is the request body of the lock operations.
type LockRequest struct {
	Holder string `json:"leaseHolder"`
	Fence  uint64 `json:"fenceToken"`
	TTLMs  int64  `json:"queueHoldMs"`
}

// LockReply is the response body with the fencing token of a lock that was acquired or force-released.
type LockReply struct {
	Fence uint64 `json:"fenceToken"`
}

func (a *api) lockHandler(operation coordination.Operation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body LockRequest
		if err := readBody(writer, request, &body); err != nil {
			apierror.Write(writer, err)
			return
		}
		result, err := a.execute(request, coordination.Call{
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

// NumberReply is the response body with the next number of a counter.
type NumberReply struct {
	Value uint64 `json:"value"`
}

func (a *api) nextNumber(writer http.ResponseWriter, request *http.Request) {
	result, err := a.execute(request, coordination.Call{Operation: coordination.OperationNext, Kind: coordination.KindCounter})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, NumberReply{Value: result.Number})
}

// PutRequest is the request body of a put. Without ExpectedRevision the put is unconditional.
type PutRequest struct {
	Value            *string `json:"value"`
	ExpectedRevision *uint64 `json:"expectedCount"`
}

// PutReply is the response body of a put: the new revision of the key, or its current one if the put failed with a conflict.
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
	result, err := a.execute(request, coordination.Call{
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

// ValueReply is the response body with the value of a key.
type ValueReply struct {
	Value    string `json:"value"`
	Revision uint64 `json:"entityTag"`
}

func (a *api) get(writer http.ResponseWriter, request *http.Request) {
	result, err := a.execute(request, coordination.Call{Operation: coordination.OperationGet, Kind: coordination.KindGroup})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, ValueReply{Value: result.Value, Revision: result.Revision})
}

// execute executes a call on the item named in the path. Outcomes that have no response body are returned as errors.
func (a *api) execute(request *http.Request, call coordination.Call) (coordination.Result, error) {
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

// outcomeErrors maps the outcomes that are answered with an error.
var outcomeErrors = map[coordination.Outcome]apierror.Kind{
	coordination.OutcomeHeld:     apierror.LockHeld,
	coordination.OutcomeLost:     apierror.LockNotHeld,
	coordination.OutcomeNotFound: apierror.KeyNotFound,
	coordination.OutcomeFull:     apierror.CoordinationFull,
}

// WatchReply is the response body of a watch.
type WatchReply struct {
	Events   []WatchEvent `json:"events"`
	Revision uint64       `json:"entityTag"`
}

// WatchEvent is a put of a key.
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

// watchQuery parses the parameters after and waitMs, both 0 by default.
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
