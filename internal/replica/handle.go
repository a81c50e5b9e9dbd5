package replica

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/routing"
)

// KVHandle is the KV memory of one request's prompt, held by the prefill replica that has read it. Only Forwarder.Prefill makes
// one, and Forwarder.SendDecode gives it out only to the attempt whose prompt was read, and once: replicas don't check whose
// handle it is, so another request would continue from a foreign prompt.
type KVHandle struct {
	attemptID string
	// address and replicaID are those of the replica that holds the memory, id is its name for it.
	address   string
	replicaID string
	id        string
	claimed   atomic.Bool
}

// claimFor claims the handle for the attempt, and reports whether it is the attempt's and was not claimed before.
func (h *KVHandle) claimFor(attemptID string) bool {
	return h.attemptID == attemptID && h.claimed.CompareAndSwap(false, true)
}

// Unused reports whether the handle was neither sent to a replica that may have taken it nor freed.
func (h *KVHandle) Unused() bool { return !h.claimed.Load() }

// source is the handle as a decode replica is told it.
func (h *KVHandle) source() string { return h.address + "/" + h.id }

// prefillResponse is a replica's answer to a request whose prompt it has read.
type prefillResponse struct {
	Handle string `json:"prefixHandle"`
}

const (
	// maxPrefillResponseBytes is how much of such an answer is read.
	maxPrefillResponseBytes = 4 << 10
	// freeTimeout is how long a call that frees a handle may take.
	freeTimeout = 700 * time.Millisecond
)

// handleID matches the names of handles that can be written into a header and a path as they are.
var handleID = regexp.MustCompile(`^[A-Za-z0-9_.~-]{1,128}$`)

// Prefill has the target read the request's prompt. With VerdictAnswered
// the handle must be passed to SendDecode or ReleaseHandle. Nothing runs by it, whatever the verdict; after VerdictUnknown the replica may
// hold memory that nobody can free until it lapses.
func (f *Forwarder) Prefill(ctx context.Context, target routing.Target, upstream UpstreamRequest) (*KVHandle, Verdict) {
	upstream.phase = discovery.PhasePrefill
	response, verdict := f.send(ctx, target, upstream)
	if verdict != VerdictAnswered {
		return nil, verdict
	}
	defer response.Body.Close()
	var answer prefillResponse
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPrefillResponseBytes))
	if err != nil || json.Unmarshal(content, &answer) != nil || !handleID.MatchString(answer.Handle) {
		return nil, VerdictUnknown
	}
	handle := &KVHandle{attemptID: upstream.AttemptID, address: target.Address(), replicaID: target.ReplicaID(), id: answer.Handle}
	return handle, VerdictAnswered
}

// SendDecode is Send to a decode replica that continues from the handle. A handle of another attempt, or one that was claimed
// before, is not sent: VerdictNotSent. After a verdict by which the replica can't have asked for the memory the handle may be
// sent to another one, see KVHandle.Unused.
func (f *Forwarder) SendDecode(
	ctx context.Context, target routing.Target, upstream UpstreamRequest, handle *KVHandle,
) (*http.Response, Verdict) {
	if !handle.claimFor(upstream.AttemptID) {
		return nil, VerdictNotSent
	}
	upstream.handleSource = handle.source()
	response, verdict := f.send(ctx, target, upstream)
	if verdict.neverAdmitted() {
		handle.claimed.Store(false)
	}
	return response, verdict
}

// ReleaseHandle frees the memory of a handle that will not be taken, on a connection of its own. A handle that was claimed can be freed
// as well: where its replica has fetched the memory already, nothing is left to free. The call outlives the request's context
// and is bounded by a timeout; if it fails, the memory lapses by itself.
func (f *Forwarder) ReleaseHandle(ctx context.Context, handle *KVHandle) error {
	handle.claimed.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: handle.address, Path: handlePath + handle.id}
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), nil)
	if err != nil {
		return err
	}
	request.Close = true
	request.Header.Set(HeaderTargetReplica, handle.replicaID)
	response, err := f.freeing.RoundTrip(request)
	if err != nil {
		return err
	}
	go drainBody(response)
	return nil
}
