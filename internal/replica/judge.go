package replica

import (
	"io"
	"net/http"
)

// Verdict says what an answer of a replica, or its absence, proves about the request that was sent.
type Verdict int

const (
	// VerdictAnswered means: the replica's own answer to this attempt.
	VerdictAnswered Verdict = iota
	// VerdictRejected means: the replica turned the request away and didn't run it.
	VerdictRejected
	// VerdictNotLoaded means: the replica doesn't hold what the request asks for, and didn't run it.
	VerdictNotLoaded
	// VerdictReplaced means: another replica stands at the address, and didn't run it.
	VerdictReplaced
	// VerdictNotSent means: no byte of the request was written.
	VerdictNotSent
	// VerdictUnknown means: the request may have run; there is no answer that counts.
	VerdictUnknown
	// VerdictReset means: as VerdictUnknown, after a reused connection ended without a byte.
	VerdictReset
)

// NotExecuted holds the verdicts that prove that the request didn't run and never will.
var NotExecuted = map[Verdict]bool{VerdictRejected: true, VerdictNotLoaded: true, VerdictReplaced: true, VerdictNotSent: true}

// judge weighs an answer against the attempt it was read for. An answer counts only if it bears the attempt's own id.
// One without any id counts as a refusal only if it is the first on its connection, where no other can be due.
func judge(response *http.Response, attempt, identity string, firstOnConnection bool) Verdict {
	attempts := response.Header.Values(HeaderAttempt)
	own := len(attempts) == 1 && attempts[0] == attempt
	if !own && (len(attempts) > 0 || !firstOnConnection) {
		return VerdictUnknown
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		if other := response.Header.Get(HeaderReplicaID); other != "" && other != identity {
			return VerdictReplaced
		}
		return VerdictNotLoaded
	}
	if response.Header.Get(HeaderNotExecuted) != "" && response.StatusCode >= http.StatusBadRequest {
		return VerdictRejected
	}
	if !own || !trustworthy(response) {
		return VerdictUnknown
	}
	return VerdictAnswered
}

// trustworthy tells whether an answer may be passed on: its status is final, its end can be seen, its body is the
// replica's own bytes, and a success is stamped.
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

// hasFraming tells whether the end of the body can be told from a connection that broke off.
func hasFraming(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

const maxDiscardBytes = 4 << 10

// drainBody reads the short body of a refusal, so that its connection can be used again.
func drainBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes+1)
	response.Body.Close()
}
