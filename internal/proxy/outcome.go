package proxy

import (
	"github.com/sirupsen/logrus"

	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
)

// failureText is what the client was answered, or empty for a replica's response.
func (e *exchange) failureText() string {
	if e.failure == nil {
		return ""
	}
	return e.failure.Error()
}

// recordRequest writes how the request went to the request log, if there is one.
func (e *exchange) recordRequest() {
	writer := e.handler.RequestLog
	if writer == nil {
		return
	}
	request := e.parsed.request
	entry := requestlog.Entry{
		Kind:         requestlog.KindRequest,
		AtMs:         writer.OffsetMs(request.Arrived),
		AttemptID:    request.Attempt,
		Route:        e.parsed.route.Name,
		Backend:      request.Backend,
		Model:        request.Model,
		Tenant:       e.parsed.upstream.Tenant,
		Prefix:       e.parsed.upstream.Header.Get(replica.HeaderPromptPrefix),
		PromptTokens: request.PromptTokens,
		OutputTokens: request.OutputTokens,
		TimeoutMs:    float64(request.Deadline.Sub(request.Arrived).Milliseconds()),
		Error:        e.failureText(),
	}
	if !e.timing.firstByteAt.IsZero() {
		entry.QueuedMs = float64(e.timing.sentAt.Sub(request.Arrived).Milliseconds())
		entry.FirstByteMs = float64(e.timing.firstByteAt.Sub(request.Arrived).Milliseconds())
		entry.DurationMs = float64(e.timing.lastByteAt.Sub(request.Arrived).Milliseconds())
	}
	writer.Write(entry)
}

// logOutcome records how the request went and logs it at the debug level.
func (e *exchange) logOutcome() {
	e.recordRequest()
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	request := &e.parsed.request
	logrus.WithFields(logrus.Fields{
		"attempt":        request.Attempt,
		"route":          e.parsed.route.Name,
		"model":          request.Model,
		"replica":        e.replicaID,
		"attempts":       e.attempts,
		"prompt_tokens":  request.PromptTokens,
		"queued_ms":      e.timing.sentAt.Sub(request.Arrived).Milliseconds(),
		"first_byte_ms":  e.timing.firstByteAt.Sub(request.Arrived).Milliseconds(),
		"duration_ms":    e.timing.lastByteAt.Sub(request.Arrived).Milliseconds(),
		"longest_gap_ms": e.timing.longestGap.Milliseconds(),
		logrus.ErrorKey:  e.failureText(),
	}).Debug("request ended")
}
