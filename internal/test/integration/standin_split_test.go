package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

const (
	headerServingPhase = "Ferryspar-Serving-Phase"
	headerKvFrom       = "Kv-From"
	handlePath         = "/ferryspar/kv-handle/"
)

// kvHandle is the KV cache of a prompt that a prefill stand-in holds for a decode stand-in.
type kvHandle struct {
	attempt   string
	claimed   bool
	released  bool
	expiresAt time.Time
}

// splitRun is a request that a decode stand-in has run with the KV cache of a handle.
type splitRun struct {
	attempt       string
	handleAttempt string
}

// splitBackend is the state that the stand-ins of a split backend share: handles by "address/handle", and their use.
type splitBackend struct {
	lock    sync.Mutex
	handles map[string]*kvHandle
	runs    []splitRun
	// prefills counts prompts processed by prefill stand-ins, decodePrefills those processed by decode stand-ins, misdirected the
	// requests that came to a replica of the wrong phase.
	prefills       int
	decodePrefills int
	misdirected    int
	// handleLifetime is how long a handle is held; handles of the replicas in expireAtOnce expire before they are used.
	handleLifetime time.Duration
	expireAtOnce   map[string]bool
	// afterPrefill, if set, is called before a prefill is answered.
	afterPrefill func(attempt string)
}

func newSplitBackend() *splitBackend {
	return &splitBackend{handles: map[string]*kvHandle{}, expireAtOnce: map[string]bool{}, handleLifetime: 5 * time.Second}
}

// prefillTimePerThousand is how long a prefill stand-in takes for a thousand prompt tokens; a decode stand-in takes twice as
// long.
const prefillTimePerThousand = 40 * time.Millisecond

// newReplica returns a stand-in of one phase.
func (b *splitBackend) newReplica(id, host, zone, phase string) *standInReplica {
	standIn := newStandInReplica(id, host, zone, "swift")
	standIn.listed.Phase = discovery.Phase(phase)
	standIn.listed.Slots = 64
	standIn.split = b
	return standIn
}

// admit handles prefills and the release of handles, and reports whether the stand-in is to run the request.
func (b *splitBackend) admit(s *standInReplica, writer http.ResponseWriter, request *http.Request) bool {
	attempt := request.Header.Get(replica.HeaderAttemptID)
	writer.Header().Set(replica.HeaderAttemptID, attempt)
	if handle, found := strings.CutPrefix(request.URL.Path, handlePath); found && request.Method == http.MethodDelete {
		b.release(s.listed.Address + "/" + handle)
		return false
	}
	wantsPrefill := request.Header.Get(headerServingPhase) == "prefill"
	s.lock.Lock()
	phase, changing := s.listed.Phase, s.busy()
	s.lock.Unlock()
	if changing {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if wantsPrefill != (phase == "prefill") {
		b.lock.Lock()
		b.misdirected++
		b.lock.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	promptTokens, _, _ := routing.ParseTokenCounts(request.Header.Get(replica.HeaderTokenCount))
	readTime := time.Duration(promptTokens / 1000 * float64(prefillTimePerThousand))
	if wantsPrefill {
		b.prefill(s, writer, request, readTime, promptTokens)
		return false
	}
	if source := request.Header.Get(headerKvFrom); source != "" {
		return b.claim(source, attempt, writer)
	}
	b.lock.Lock()
	b.decodePrefills++
	b.lock.Unlock()
	time.Sleep(2 * readTime)
	return true
}

// prefill processes a prompt and answers with the handle of its KV cache.
func (b *splitBackend) prefill(
	s *standInReplica, writer http.ResponseWriter, request *http.Request, readTime time.Duration, promptTokens float64,
) {
	s.lock.Lock()
	fail := failureModes[s.failureMode]
	s.lock.Unlock()
	if fail != nil {
		fail(writer, request)
		return
	}
	time.Sleep(readTime)
	attempt := request.Header.Get(replica.HeaderAttemptID)
	b.lock.Lock()
	b.prefills++
	handle := fmt.Sprintf("h%d", b.prefills)
	b.handles[s.listed.Address+"/"+handle] = &kvHandle{
		attempt:   attempt,
		released:  b.expireAtOnce[s.listed.ID],
		expiresAt: time.Now().Add(b.handleLifetime),
	}
	afterPrefill := b.afterPrefill
	b.lock.Unlock()
	if afterPrefill != nil {
		afterPrefill(attempt)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"prefixHandle": handle, "tokenCount": promptTokens, "revision": 1})
}

// claim uses a handle for a request, or rejects the request with the proof that it was not run.
func (b *splitBackend) claim(source, attempt string, writer http.ResponseWriter) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	handle := b.handles[source]
	if handle == nil || handle.claimed || handle.released || time.Now().After(handle.expiresAt) {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	handle.claimed = true
	b.runs = append(b.runs, splitRun{attempt: attempt, handleAttempt: handle.attempt})
	return true
}

func (b *splitBackend) release(source string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if handle := b.handles[source]; handle != nil {
		handle.released = true
	}
}

// heldHandles counts the handles that are neither claimed nor released nor expired.
func (b *splitBackend) heldHandles() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	held := 0
	for _, handle := range b.handles {
		if !handle.claimed && !handle.released && time.Now().Before(handle.expiresAt) {
			held++
		}
	}
	return held
}
