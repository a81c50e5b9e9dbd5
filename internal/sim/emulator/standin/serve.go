package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

// rejection is the response to a request that is not served.
type rejection struct {
	status      int
	notExecuted bool
}

// serveStream responds to a request with a stream of numbered events that follow the last one that the client
// has received.
func (r *Replica) serveStream(writer http.ResponseWriter, request *http.Request) {
	reference := request.Header.Get(replica.HeaderModel)
	parts, valid := routing.ParsePromptPrefix(request.Header.Get(replica.HeaderPromptPrefix))
	prompt, output, counted := routing.ParseTokenCounts(request.Header.Get(replica.HeaderTokenCount))
	if !valid || !counted || request.Header.Get(replica.HeaderAttemptID) == "" {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	uncached, rejected := r.begin(reference, parts, prompt)
	if rejected != nil {
		if rejected.notExecuted {
			writer.Header().Set(replica.HeaderNotExecuted, "1")
		}
		writer.WriteHeader(rejected.status)
		return
	}
	defer r.end()
	from, _ := strconv.Atoi(request.Header.Get(replica.HeaderLastEventID))
	writer.Header().Set(replica.HeaderSeal, r.entry.ID+"."+strconv.FormatInt(time.Now().UnixMilli(), 36))
	writer.Header().Set("Content-Type", "text/event-stream")
	if !pause(request, r.timing.BaseLatency+time.Duration(uncached/1000*float64(r.timing.PrefillPerThousand))) {
		return
	}
	for number := from + 1; number <= max(int(output), 1); number++ {
		fmt.Fprintf(writer, "id: %d\ndata: %s says word %d\n\n", number, reference, number)
		if http.NewResponseController(writer).Flush() != nil || !pause(request, r.eventGap()) {
			return
		}
	}
}

// pause waits for the duration and reports whether the client is still connected.
func pause(request *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// begin occupies a slot and returns the number of prompt tokens that are not cached, or a rejection.
func (r *Replica) begin(reference string, parts []routing.PromptPart, prompt float64) (float64, *rejection) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.changing != "" && (reference == r.changing || strings.HasPrefix(reference, r.changing+"/")) {
		return 0, &rejection{http.StatusServiceUnavailable, true}
	}
	if !r.loaded[reference] {
		return 0, &rejection{http.StatusMisdirectedRequest, true}
	}
	if r.active >= r.runtime.Slots {
		return 0, &rejection{http.StatusServiceUnavailable, true}
	}
	r.active++
	uncached, isCached := prompt, true
	for position, hash := range routing.HashPrefixes(parts) {
		name := fmt.Sprintf("%s %x", reference, hash)
		if isCached = isCached && r.cachedPrefixes[name]; isCached {
			uncached -= parts[position].Tokens
		}
		r.cachedPrefixes[name] = true
	}
	return max(uncached, 0), nil
}

// end frees the slot.
func (r *Replica) end() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.active--
}

// eventGap returns the time until the next event.
func (r *Replica) eventGap() time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	occupancy := float64(r.active) / float64(max(r.runtime.Slots, 1))
	return time.Duration(float64(r.timing.EventInterval) * (1 + r.timing.OccupancyFactor*occupancy))
}
