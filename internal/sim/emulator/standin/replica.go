// Package standin serves replicas and a platform list over HTTP as the users' pages describe them,
// for the demo and for tests. A stand-in runs no model: it answers with numbered events at a given
// pace, keeps to its slots, and loads and unloads by timers. It never calls a daemon. Start reading
// at NewReplica.
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

// Timing is how fast a stand-in answers: the base, reading per thousand prompt tokens, and the gap
// between events, longer by Crowding as slots fill.
type Timing struct {
	BaseLatency        time.Duration
	PrefillPerThousand time.Duration
	EventInterval      time.Duration
	OccupancyFactor    float64
}

// DefaultTiming is the pace that the demo uses.
func DefaultTiming() Timing {
	return Timing{
		BaseLatency:        15 * time.Millisecond,
		PrefillPerThousand: 60 * time.Millisecond,
		EventInterval:      20 * time.Millisecond,
		OccupancyFactor:    1,
	}
}

// Replica is a stand-in replica; any goroutine may call its methods.
type Replica struct {
	lock    sync.Mutex
	entry   discovery.Replica
	pace    Timing
	runtime configuration.Runtime
	models  map[string]configuration.Model
	loaded  ModelSet
	// onDisk holds what was loaded before, which loads faster.
	onDisk ModelSet
	// cachedPrefixes holds "reference dialogue" of the prompts read.
	cachedPrefixes map[string]bool
	active         int
	// sequence counts the changes, as the report shows them.
	sequence int64
	// fence is the highest fence token seen; instructions with a lower one are rejected.
	fence uint64
	// changing is the reference being loaded or unloaded, or empty.
	changing  string
	busyUntil time.Time
}

// NewReplica makes a replica of the backend with the given references loaded. SetAddress must be
// called before it is listed.
func NewReplica(listed discovery.Replica, backend configuration.Backend, pace Timing, references ...string) *Replica {
	created := &Replica{
		entry:          listed,
		pace:           pace,
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

// ID is the replica's id.
func (r *Replica) ID() string { return r.entry.ID }

// SetAddress sets the address in the list; call it before the replica is served.
func (r *Replica) SetAddress(address string) { r.entry.Address = address }

// Entry is the replica as the platform lists it.
func (r *Replica) Entry() discovery.Replica {
	r.lock.Lock()
	defer r.lock.Unlock()
	listed := r.entry
	listed.Models = r.loaded.List()
	return listed
}

// Routes is the replica's HTTP interface, with health at the given path and streams at every other.
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

// checkTarget rejects requests that name another replica and echoes the attempt id.
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

// serveReport answers with the replica's state.
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

// orderBody is an instruction whose sender may leave out the expected sequence.
type orderBody struct {
	replica.Order
	Expected *int64 `json:"expectedCount"`
}

// serveOrder answers a load or unload instruction of the control plane.
func (r *Replica) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var instruction orderBody
	if json.NewDecoder(request.Body).Decode(&instruction) != nil || instruction.LeaseHolder == "" || instruction.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	writer.WriteHeader(r.applyOrder(instruction, time.Now()))
}

// applyOrder begins a load or unload and is the HTTP status of the answer. The caller holds
// the lock.
func (r *Replica) applyOrder(instruction orderBody, now time.Time) int {
	model, known := r.models[instruction.Model]
	load := instruction.Operation == replica.OperationLoad
	if !known || !load && instruction.Operation != replica.OperationUnload {
		return http.StatusBadRequest
	}
	if instruction.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = instruction.Fence
	reference := instruction.Model
	duration := time.Duration(model.LoadTimeS * float64(time.Second))
	if r.onDisk[reference] {
		duration /= 5
	}
	if instruction.Adapter != "" {
		reference = reference + "/" + instruction.Adapter
		duration = 20 * time.Millisecond
	}
	if !load {
		duration = 50 * time.Millisecond
	}
	if r.loaded[reference] == load {
		return http.StatusOK
	}
	if now.Before(r.busyUntil) || instruction.Expected != nil && *instruction.Expected != r.sequence {
		return http.StatusConflict
	}
	if load && (instruction.Adapter != "" && !r.loaded[instruction.Model] || !r.fits(reference)) {
		return http.StatusBadRequest
	}
	r.sequence++
	r.busyUntil, r.changing = now.Add(duration), reference
	time.AfterFunc(duration, func() { r.finishChange(reference, load) })
	return http.StatusAccepted
}

// fits reports whether a model or adapter fits. The caller holds the lock.
func (r *Replica) fits(reference string) bool {
	total, adapters := 0.0, 0
	for loaded := range r.loaded {
		model, _, adapted := strings.Cut(loaded, "/")
		if adapted {
			total += r.models[model].AdapterSizeMb
			adapters++
		} else {
			total += r.models[model].WeightSizeMb
		}
	}
	model, _, adapted := strings.Cut(reference, "/")
	if adapted {
		return adapters < r.runtime.AdapterCapacity && total+r.models[model].AdapterSizeMb <= r.runtime.WeightSizeMb
	}
	return total+r.models[model].WeightSizeMb <= r.runtime.WeightSizeMb
}

// finishChange ends a load or unload; a timer calls it.
func (r *Replica) finishChange(reference string, load bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.changing = ""
	if load {
		r.loaded[reference], r.onDisk[reference] = true, true
		return
	}
	r.loaded.Remove(reference)
	for kept := range r.cachedPrefixes {
		if strings.HasPrefix(kept, reference+" ") || strings.HasPrefix(kept, reference+"/") {
			delete(r.cachedPrefixes, kept)
		}
	}
}
