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

// KVHandle refers to the KV cache of one request's prompt, held by the prefill replica that processed the prompt. Only
// Forwarder.Prefill creates handles. Forwarder.SendDecode uses a handle only for the attempt it was created for, and once:
// replicas do not check the owner of a handle, so another request would continue from the wrong prompt.
type KVHandle struct {
	attemptID string
	// address and replicaID identify the replica that holds the KV cache; id is the replica's name for the handle.
	address   string
	replicaID string
	id        string
	claimed   atomic.Bool
}

// claimFor claims the handle for the attempt. It reports whether the handle belongs to the attempt and was unclaimed.
func (h *KVHandle) claimFor(attemptID string) bool {
	return h.attemptID == attemptID && h.claimed.CompareAndSwap(false, true)
}

// Unused reports whether the handle was neither released nor sent to a replica that may have used it.
func (h *KVHandle) Unused() bool { return !h.claimed.Load() }

// source returns the value of HeaderKVSource for the handle.
func (h *KVHandle) source() string { return h.address + "/" + h.id }

// prefillResponse is the body of a response to a prefill request.
type prefillResponse struct {
	Handle string `json:"prefixHandle"`
}

const (
	// maxPrefillResponseBytes is the maximum number of bytes read from the response to a prefill request.
	maxPrefillResponseBytes = 4 << 10
	// releaseTimeout limits a call that releases a handle.
	releaseTimeout = 700 * time.Millisecond
)

// handleID matches handle ids that need no escaping in a header or a path.
var handleID = regexp.MustCompile(`^[A-Za-z0-9_.~-]{1,128}$`)

// Prefill sends the request to the target for the prefill phase only: the target processes the prompt and keeps its KV cache.
// With VerdictAnswered the caller must pass the handle to SendDecode or ReleaseHandle. The request is not executed, whatever the
// verdict. After VerdictUnknown the replica may hold a KV cache that cannot be released before it expires.
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

// SendDecode forwards the request as Send does, to a decode replica that continues from the handle. It returns VerdictNotSent
// if the handle belongs to another attempt or is already claimed. If the verdict proves that the replica did not fetch the KV
// cache, the handle may be sent to another replica, see KVHandle.Unused.
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

// ReleaseHandle frees the KV cache of a handle that will not be used, over a new connection. It may also be called for a claimed
// handle: if the decode replica has already fetched the KV cache, there is nothing left to free. The call is not cancelled with
// the request's context but has a timeout of its own; if it fails, the KV cache is freed when it expires.
func (f *Forwarder) ReleaseHandle(ctx context.Context, handle *KVHandle) error {
	handle.claimed.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: handle.address, Path: handlePath + handle.id}
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), nil)
	if err != nil {
		return err
	}
	request.Close = true
	request.Header.Set(HeaderTargetReplica, handle.replicaID)
	response, err := f.releaseTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	go drainBody(response)
	return nil
}
