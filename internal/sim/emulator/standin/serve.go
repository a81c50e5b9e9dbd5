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

// rejection is the answer to a request that is not served.
type rejection struct {
	status      int
	notExecuted bool
}

// serveStream answers a request with a stream of numbered events, after the last one that the
// client has seen.
func (r *Replica) serveStream(writer http.ResponseWriter, request *http.Request) {
	reference := request.Header.Get(replica.HeaderModel)
	parts, sound := routing.ParsePromptPrefix(request.Header.Get(replica.HeaderPromptPrefix))
	prompt, output, counted := routing.ParseTokenCounts(request.Header.Get(replica.HeaderTokenCount))
	if !sound || !counted || request.Header.Get(replica.HeaderAttemptID) == "" {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	unread, rejected := r.begin(reference, parts, prompt)
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
	if !pause(request, r.pace.BaseLatency+time.Duration(unread/1000*float64(r.pace.PrefillPerThousand))) {
		return
	}
	for number := from + 1; number <= max(int(output), 1); number++ {
		fmt.Fprintf(writer, "id: %d\ndata: %s says word %d\n\n", number, reference, number)
		if http.NewResponseController(writer).Flush() != nil || !pause(request, r.eventGap()) {
			return
		}
	}
}

// pause waits for the length and reports whether the client is still there.
func pause(request *http.Request, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// begin takes a slot and is the number of prompt tokens to read, or the reason why not.
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
	unread, together := prompt, true
	for position, dialogue := range routing.HashPrefixes(parts) {
		name := fmt.Sprintf("%s %x", reference, dialogue)
		if together = together && r.cachedPrefixes[name]; together {
			unread -= parts[position].Tokens
		}
		r.cachedPrefixes[name] = true
	}
	return max(unread, 0), nil
}

// end frees the slot.
func (r *Replica) end() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.active--
}

// eventGap is the time to the next event.
func (r *Replica) eventGap() time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	crowd := float64(r.active) / float64(max(r.runtime.Slots, 1))
	return time.Duration(float64(r.pace.EventInterval) * (1 + r.pace.OccupancyFactor*crowd))
}
