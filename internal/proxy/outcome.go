package proxy

import (
	"github.com/sirupsen/logrus"

	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
)

// failureText returns the error that the client was answered with, empty for a replica's response.
func (e *exchange) failureText() string {
	if e.failure == nil {
		return ""
	}
	return e.failure.Error()
}

// recordRequest writes an entry for the request to the request log, if there is one.
func (e *exchange) recordRequest() {
	writer := e.handler.RequestLog
	if writer == nil {
		return
	}
	request := e.parsed.request
	entry := requestlog.Entry{
		Kind:         requestlog.KindRequest,
		AtMs:         writer.OffsetMs(request.ArrivedAt),
		AttemptID:    request.AttemptID,
		Route:        e.parsed.route.Name,
		Backend:      request.Backend,
		Model:        request.Model,
		Tenant:       e.parsed.upstream.Tenant,
		Prefix:       e.parsed.upstream.Header.Get(replica.HeaderPromptPrefix),
		PromptTokens: request.PromptTokens,
		OutputTokens: request.OutputTokens,
		TimeoutMs:    float64(request.Deadline.Sub(request.ArrivedAt).Milliseconds()),
		Error:        e.failureText(),
	}
	if !e.timing.firstByteAt.IsZero() {
		entry.QueuedMs = float64(e.timing.sentAt.Sub(request.ArrivedAt).Milliseconds())
		entry.FirstByteMs = float64(e.timing.firstByteAt.Sub(request.ArrivedAt).Milliseconds())
		entry.DurationMs = float64(e.timing.lastByteAt.Sub(request.ArrivedAt).Milliseconds())
	}
	writer.Write(entry)
}

// logOutcome writes the request log entry, and a log message at debug level.
func (e *exchange) logOutcome() {
	e.recordRequest()
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	request := &e.parsed.request
	logrus.WithFields(logrus.Fields{
		"attempt":        request.AttemptID,
		"route":          e.parsed.route.Name,
		"model":          request.Model,
		"replica":        e.replicaID,
		"attempts":       e.attempts,
		"prompt_tokens":  request.PromptTokens,
		"queued_ms":      e.timing.sentAt.Sub(request.ArrivedAt).Milliseconds(),
		"first_byte_ms":  e.timing.firstByteAt.Sub(request.ArrivedAt).Milliseconds(),
		"duration_ms":    e.timing.lastByteAt.Sub(request.ArrivedAt).Milliseconds(),
		"longest_gap_ms": e.timing.longestGap.Milliseconds(),
		logrus.ErrorKey:  e.failureText(),
	}).Debug("request ended")
}
