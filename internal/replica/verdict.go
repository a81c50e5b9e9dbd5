package replica

import (
	"io"
	"net/http"

	"ferryspar/internal/discovery"
)

// Verdict states what a replica's response, or the lack of one, proves about the request that was sent.
type Verdict int

const (
	// VerdictAnswered means that the response is the replica's own response to this attempt.
	VerdictAnswered Verdict = iota
	// VerdictRejected means that the replica rejected the request for lack of capacity and did not execute it.
	VerdictRejected
	// VerdictNotLoaded means that the replica has not loaded the requested model or adapter and did not execute the request.
	VerdictNotLoaded
	// VerdictReplaced means that another replica now has the address and did not execute the request.
	VerdictReplaced
	// VerdictNotSent means that no byte of the request was written.
	VerdictNotSent
	// VerdictUnknown means that the request may have been executed: there is no valid response.
	VerdictUnknown
	// VerdictReset is VerdictUnknown after a reused connection ended without a byte of the response.
	VerdictReset
)

// NotExecuted reports whether the verdict proves that the request was not and will not be executed, so that it may be sent to
// another replica even if it is not idempotent.
func (v Verdict) NotExecuted() bool {
	switch v {
	case VerdictRejected, VerdictNotLoaded, VerdictReplaced, VerdictNotSent:
		return true
	default:
		return false
	}
}

// neverAdmitted reports whether the verdict proves that the replica did not begin to fetch the KV cache for the request: it
// received no byte, is not the target replica, or has not loaded the model.
func (v Verdict) neverAdmitted() bool {
	return v == VerdictNotSent || v == VerdictNotLoaded || v == VerdictReplaced
}

// classifyResponse determines the verdict on a response to the attempt. The response must have the attempt's id. A rejection
// without an id is accepted only if it is the first response on its connection, where no other can be pending.
func classifyResponse(response *http.Response, upstream UpstreamRequest, replicaID string, firstOnConnection bool) Verdict {
	ids := response.Header.Values(HeaderAttemptID)
	idMatches := len(ids) == 1 && ids[0] == upstream.AttemptID
	if !idMatches && (len(ids) > 0 || !firstOnConnection) {
		return VerdictUnknown
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		if other := response.Header.Get(HeaderReplicaID); other != "" && other != replicaID {
			return VerdictReplaced
		}
		return VerdictNotLoaded
	}
	if response.Header.Get(HeaderNotExecuted) != "" && response.StatusCode >= http.StatusBadRequest {
		return VerdictRejected
	}
	if upstream.phase == discovery.PhasePrefill {
		return classifyPrefillResponse(response, idMatches)
	}
	if !idMatches || !isForwardable(response) {
		return VerdictUnknown
	}
	return VerdictAnswered
}

// classifyPrefillResponse determines the verdict on a response to a prefill request that is not a rejection. Such a response has
// no seal, since it is not forwarded to the client.
func classifyPrefillResponse(response *http.Response, idMatches bool) Verdict {
	if !idMatches || response.StatusCode != http.StatusOK || !hasFraming(response) {
		return VerdictUnknown
	}
	return VerdictAnswered
}

// isForwardable reports whether a response may be forwarded to the client: the status is final, the end of the body is
// detectable, the body is the replica's own bytes (not encoded), and a successful response has the seal.
func isForwardable(response *http.Response) bool {
	if response.StatusCode < http.StatusOK || response.Header.Get("Content-Encoding") != "" {
		return false
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && (len(response.Header.Values(HeaderSeal)) != 1 || response.Header.Get(HeaderSeal) == "") {
		return false
	}
	return response.Header.Get(HeaderNotExecuted) == "" && hasFraming(response)
}

// hasFraming reports whether the end of the body can be distinguished from a broken connection.
func hasFraming(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// maxDrainBytes is the longest body of a rejection that is read so that the connection can be reused.
const maxDrainBytes = 4 << 10

// drainBody reads and closes the body of a rejection, so that the connection can be reused if the body is short.
func drainBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes+1)
	response.Body.Close()
}
