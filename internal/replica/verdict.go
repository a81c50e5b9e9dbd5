package replica

import (
	"io"
	"net/http"

	"ferryspar/internal/discovery"
)

// Verdict says what a response of a replica, or its absence, proves about the request that was sent.
type Verdict int

const (
	// VerdictAnswered means: the replica's own response to this attempt.
	VerdictAnswered Verdict = iota
	// VerdictRejected means: the replica rejected the request, for want of capacity, and didn't run it.
	VerdictRejected
	// VerdictNotLoaded means: the replica doesn't have loaded what the request asks for, and didn't run it.
	VerdictNotLoaded
	// VerdictReplaced means: another replica stands at the address, and didn't run it.
	VerdictReplaced
	// VerdictNotSent means: no byte of the request was written.
	VerdictNotSent
	// VerdictUnknown means: the request may have run; there is no response that counts.
	VerdictUnknown
	// VerdictReset means: as VerdictUnknown, after a reused connection ended without a byte.
	VerdictReset
)

// NotExecuted reports whether the verdict proves that the request didn't run and never will, so that it may be sent to another
// replica whatever its method.
func (v Verdict) NotExecuted() bool {
	switch v {
	case VerdictRejected, VerdictNotLoaded, VerdictReplaced, VerdictNotSent:
		return true
	default:
		return false
	}
}

// neverAdmitted reports whether the verdict proves that the replica didn't get as far as fetching memory for the request: it
// received no byte, or isn't the replica that was meant or lacks what the request asks for.
func (v Verdict) neverAdmitted() bool {
	return v == VerdictNotSent || v == VerdictNotLoaded || v == VerdictReplaced
}

// judge weighs a response against the attempt it was read for. A response counts only if it bears the attempt's own id. One
// without any id counts as a rejection only if it is the first on its connection, where no other can be due.
func judge(response *http.Response, upstream UpstreamRequest, replicaID string, firstOnConnection bool) Verdict {
	stated := response.Header.Values(HeaderAttemptID)
	own := len(stated) == 1 && stated[0] == upstream.AttemptID
	if !own && (len(stated) > 0 || !firstOnConnection) {
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
		return judgePrefill(response, own)
	}
	if !own || !trustworthy(response) {
		return VerdictUnknown
	}
	return VerdictAnswered
}

// judgePrefill weighs an answer that is no rejection to a request whose prompt was to be read. It is for this node and bears
// no seal.
func judgePrefill(response *http.Response, own bool) Verdict {
	if !own || response.StatusCode != http.StatusOK || !hasFraming(response) {
		return VerdictUnknown
	}
	return VerdictAnswered
}

// trustworthy reports whether a response may be passed on: its status is final, its end can be seen, its body is the replica's
// own bytes, and a success bears the seal.
func trustworthy(response *http.Response) bool {
	if response.StatusCode < http.StatusOK || response.Header.Get("Content-Encoding") != "" {
		return false
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && (len(response.Header.Values(HeaderSeal)) != 1 || response.Header.Get(HeaderSeal) == "") {
		return false
	}
	return response.Header.Get(HeaderNotExecuted) == "" && hasFraming(response)
}

// hasFraming reports whether the end of the body can be told from a connection that broke off.
func hasFraming(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// maxDrainBytes is how much of a rejection's body is read to use its connection again.
const maxDrainBytes = 4 << 10

// drainBody reads the short body of a rejection, so that its connection can be used again.
func drainBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes+1)
	response.Body.Close()
}
