// Package standin implements fake replicas and a fake platform list that serve the documented HTTP
// interfaces, for the demo and for tests. A stand-in replica runs no model: it answers requests with numbered
// events at a configured rate, up to its number of slots, and simulates loads and unloads with timers. It
// never calls a daemon. The entry point is NewReplica.
package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
)

// Timing describes how fast a stand-in answers: BaseLatency and PrefillPerThousand prompt tokens before the
// first event, then EventInterval between events, multiplied by up to 1+OccupancyFactor as slots fill.
type Timing struct {
	BaseLatency        time.Duration
	PrefillPerThousand time.Duration
	EventInterval      time.Duration
	OccupancyFactor    float64
}

// DefaultTiming returns the timing that the demo uses.
func DefaultTiming() Timing {
	return Timing{
		BaseLatency:        15 * time.Millisecond,
		PrefillPerThousand: 60 * time.Millisecond,
		EventInterval:      20 * time.Millisecond,
		OccupancyFactor:    1,
	}
}

// Replica is a stand-in replica. Its methods, except SetAddress, are safe for concurrent use.
type Replica struct {
	lock    sync.Mutex
	entry   discovery.Replica
	timing  Timing
	runtime configuration.Runtime
	models  map[string]configuration.Model
	loaded  ModelSet
	// onDisk holds the references loaded before, which load faster.
	onDisk ModelSet
	// cachedPrefixes holds the "reference hash" pairs of the prompt prefixes processed.
	cachedPrefixes map[string]bool
	active         int
	// sequence counts the loads and unloads started; the report contains it.
	sequence int64
	// fence is the highest fence token seen; orders with a lower one are rejected.
	fence uint64
	// changing is the reference being loaded or unloaded, or empty.
	changing  string
	busyUntil time.Time
}

// NewReplica returns a replica of the backend with the given references loaded. SetAddress must be called
// before the replica is listed.
func NewReplica(listed discovery.Replica, backend configuration.Backend, timing Timing, references ...string) *Replica {
	created := &Replica{
		entry:          listed,
		timing:         timing,
		runtime:        *backend.Runtime,
		models:         map[string]configuration.Model{},
		loaded:         NewModelSet(references...),
		onDisk:         NewModelSet(references...),
		cachedPrefixes: map[string]bool{},
	}
	created.entry.Backend = backend.Name
	created.entry.Slots = backend.Runtime.Slots
	created.entry.State = "ready"
	for _, model := range backend.Runtime.Models {
		created.models[model.Name] = model
	}
	return created
}

// ID returns the replica's ID.
func (r *Replica) ID() string { return r.entry.ID }

// SetAddress sets the replica's address in the list. It must be called before the replica is served.
func (r *Replica) SetAddress(address string) { r.entry.Address = address }

// Entry returns the replica's entry in the platform's list.
func (r *Replica) Entry() discovery.Replica {
	r.lock.Lock()
	defer r.lock.Unlock()
	listed := r.entry
	listed.Models = r.loaded.List()
	return listed
}

// Routes returns the replica's HTTP handler, with the health check at the given path, the report and order
// endpoints, and streams at every other path.
func (r *Replica) Routes(healthPath string) http.Handler {
	router := chi.NewRouter()
	router.Use(r.checkTarget)
	router.Get("/ferryspar/report", r.serveReport)
	router.Post("/ferryspar/order", r.serveOrder)
	router.Get(healthPath, r.serveHealth)
	router.NotFound(r.serveStream)
	router.MethodNotAllowed(r.serveStream)
	return router
}

// checkTarget echoes the attempt ID and rejects requests that are addressed to another replica.
func (r *Replica) checkTarget(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if attempt := request.Header.Get(replica.HeaderAttemptID); attempt != "" {
			writer.Header().Set(replica.HeaderAttemptID, attempt)
		}
		if target := request.Header.Get(replica.HeaderTargetReplica); target != "" && target != r.entry.ID {
			writer.Header().Set(replica.HeaderReplicaID, r.entry.ID)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// serveHealth answers a health check.
func (r *Replica) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(replica.HeaderReplicaID, r.entry.ID)
	writer.WriteHeader(http.StatusOK)
}

// serveReport responds with the replica's state.
func (r *Replica) serveReport(writer http.ResponseWriter, _ *http.Request) {
	r.lock.Lock()
	state := replica.Report{
		Phase:          "unified",
		Models:         r.loaded.List(),
		Busy:           time.Now().Before(r.busyUntil),
		Sequence:       r.sequence,
		ActiveRequests: r.active,
		KVTokensTotal:  r.runtime.KvCacheTokens,
	}
	r.lock.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(state)
}

// orderBody is an order whose sender may omit the expected sequence.
type orderBody struct {
	replica.Order
	Expected *int64 `json:"expectedCount"`
}

// serveOrder handles a load or unload order of the control plane.
func (r *Replica) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order orderBody
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.LeaseHolder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	writer.WriteHeader(r.applyOrder(order, time.Now()))
}

// applyOrder starts a load or unload and returns the HTTP status of the response. The caller must hold the
// lock.
func (r *Replica) applyOrder(order orderBody, now time.Time) int {
	model, known := r.models[order.Model]
	load := order.Operation == replica.OperationLoad
	if !known || !load && order.Operation != replica.OperationUnload {
		return http.StatusBadRequest
	}
	if order.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = order.Fence
	reference := order.Model
	duration := time.Duration(model.LoadTimeS * float64(time.Second))
	if r.onDisk[reference] {
		duration /= 5
	}
	if order.Adapter != "" {
		reference = reference + "/" + order.Adapter
		duration = 20 * time.Millisecond
	}
	if !load {
		duration = 50 * time.Millisecond
	}
	if r.loaded[reference] == load {
		return http.StatusOK
	}
	if now.Before(r.busyUntil) || order.Expected != nil && *order.Expected != r.sequence {
		return http.StatusConflict
	}
	if load && (order.Adapter != "" && !r.loaded[order.Model] || !r.fits(reference)) {
		return http.StatusBadRequest
	}
	r.sequence++
	r.busyUntil, r.changing = now.Add(duration), reference
	time.AfterFunc(duration, func() { r.finishChange(reference, load) })
	return http.StatusAccepted
}

// fits reports whether a model or adapter fits into the remaining capacity. The caller must hold the lock.
func (r *Replica) fits(reference string) bool {
	total, adapters := 0.0, 0
	for loaded := range r.loaded {
		model, _, isAdapter := strings.Cut(loaded, "/")
		if isAdapter {
			total += r.models[model].AdapterSizeMb
			adapters++
		} else {
			total += r.models[model].WeightSizeMb
		}
	}
	model, _, isAdapter := strings.Cut(reference, "/")
	if isAdapter {
		return adapters < r.runtime.AdapterCapacity && total+r.models[model].AdapterSizeMb <= r.runtime.WeightSizeMb
	}
	return total+r.models[model].WeightSizeMb <= r.runtime.WeightSizeMb
}

// finishChange completes a load or unload. It is called by a timer.
func (r *Replica) finishChange(reference string, load bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.changing = ""
	if load {
		r.loaded[reference], r.onDisk[reference] = true, true
		return
	}
	r.loaded.Remove(reference)
	for prefix := range r.cachedPrefixes {
		if strings.HasPrefix(prefix, reference+" ") || strings.HasPrefix(prefix, reference+"/") {
			delete(r.cachedPrefixes, prefix)
		}
	}
}
