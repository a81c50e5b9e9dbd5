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

// kvHandle is the memory of a prompt that a prefill stand-in holds for a decode stand-in.
type kvHandle struct {
	attempt  string
	taken    bool
	freed    bool
	lapsesAt time.Time
}

// splitRun is a request that a decode stand-in has run from a handle.
type splitRun struct {
	attempt       string
	handleAttempt string
}

// splitFleet is what the stand-ins of a split backend share: the handles by "address/handle", and what was done with them.
type splitFleet struct {
	lock    sync.Mutex
	handles map[string]*kvHandle
	runs    []splitRun
	// prefills counts prompts read by prefill stand-ins, alone those read by decode stand-ins, misdirected the requests that
	// came to the wrong phase.
	prefills    int
	alone       int
	misdirected int
	// hold is how long a handle is held; lapseAtOnce has handles of these replicas gone when they are asked for.
	hold        time.Duration
	lapseAtOnce map[string]bool
	// afterPrefill, if set, is called before a prefill is answered.
	afterPrefill func(attempt string)
}

func newSplitFleet() *splitFleet {
	return &splitFleet{handles: map[string]*kvHandle{}, lapseAtOnce: map[string]bool{}, hold: 5 * time.Second}
}

// prefillPerThousand is how long a prefill stand-in reads a thousand prompt tokens; a decode stand-in takes twice as long.
const prefillPerThousand = 40 * time.Millisecond

// newSplitReplica is a stand-in of one phase.
func (f *splitFleet) newReplica(id, host, zone, phase string) *standInReplica {
	standIn := newStandInReplica(id, host, zone, "swift")
	standIn.listed.Phase = discovery.Phase(phase)
	standIn.listed.Slots = 64
	standIn.split = f
	return standIn
}

// admit answers what concerns prefill and handles, and reports whether the request is to be run by the stand-in.
func (f *splitFleet) admit(s *standInReplica, writer http.ResponseWriter, request *http.Request) bool {
	attempt := request.Header.Get(replica.HeaderAttemptID)
	writer.Header().Set(replica.HeaderAttemptID, attempt)
	if handle, found := strings.CutPrefix(request.URL.Path, handlePath); found && request.Method == http.MethodDelete {
		f.free(s.listed.Address + "/" + handle)
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
		f.lock.Lock()
		f.misdirected++
		f.lock.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	promptTokens, _, _ := routing.ParseTokenCounts(request.Header.Get(replica.HeaderTokenCount))
	reading := time.Duration(promptTokens / 1000 * float64(prefillPerThousand))
	if wantsPrefill {
		f.prefill(s, writer, request, reading, promptTokens)
		return false
	}
	if source := request.Header.Get(headerKvFrom); source != "" {
		return f.take(source, attempt, writer)
	}
	f.lock.Lock()
	f.alone++
	f.lock.Unlock()
	time.Sleep(2 * reading)
	return true
}

// prefill reads a prompt and answers with its handle.
func (f *splitFleet) prefill(
	s *standInReplica, writer http.ResponseWriter, request *http.Request, reading time.Duration, promptTokens float64,
) {
	s.lock.Lock()
	fail := failureModes[s.failureMode]
	s.lock.Unlock()
	if fail != nil {
		fail(writer, request)
		return
	}
	time.Sleep(reading)
	attempt := request.Header.Get(replica.HeaderAttemptID)
	f.lock.Lock()
	f.prefills++
	handle := fmt.Sprintf("h%d", f.prefills)
	f.handles[s.listed.Address+"/"+handle] = &kvHandle{
		attempt:  attempt,
		freed:    f.lapseAtOnce[s.listed.ID],
		lapsesAt: time.Now().Add(f.hold),
	}
	afterPrefill := f.afterPrefill
	f.lock.Unlock()
	if afterPrefill != nil {
		afterPrefill(attempt)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"prefixHandle": handle, "tokenCount": promptTokens, "revision": 1})
}

// take takes a handle for a request, or rejects the request with the proof that it was not run.
func (f *splitFleet) take(source, attempt string, writer http.ResponseWriter) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	handle := f.handles[source]
	if handle == nil || handle.taken || handle.freed || time.Now().After(handle.lapsesAt) {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	handle.taken = true
	f.runs = append(f.runs, splitRun{attempt: attempt, handleAttempt: handle.attempt})
	return true
}

func (f *splitFleet) free(source string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if handle := f.handles[source]; handle != nil {
		handle.freed = true
	}
}

// heldHandles counts the handles that are neither taken nor freed nor lapsed.
func (f *splitFleet) heldHandles() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	held := 0
	for _, handle := range f.handles {
		if !handle.taken && !handle.freed && time.Now().Before(handle.lapsesAt) {
			held++
		}
	}
	return held
}
