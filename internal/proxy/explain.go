package proxy

import (
	"github.com/sirupsen/logrus"

	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
)

func (e *exchange) failureText() string {
	if e.failure == nil {
		return ""
	}
	return e.failure.Error()
}

func (e *exchange) recordRequest() {
	writer := e.handler.Recorder
	if writer == nil {
		return
	}
	request := e.parsed.request
	entry := requestlog.Entry{
		Kind: requestlog.KindRequest, AtMs: writer.OffsetMs(request.Arrived), AttemptID: request.Attempt,
		Route: e.parsed.route.Name, Backend: request.Backend, Model: request.Model, Tenant: e.parsed.upstream.Tenant,
		Prefix: e.parsed.upstream.Header.Get(replica.HeaderPrefix), PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens,
		TimeoutMs: float64(request.Deadline.Sub(request.Arrived).Milliseconds()), Error: e.failureText(),
	}
	if !e.firstByteAt.IsZero() {
		entry.QueuedMs = float64(e.sentAt.Sub(request.Arrived).Milliseconds())
		entry.FirstByteMs = float64(e.firstByteAt.Sub(request.Arrived).Milliseconds())
		entry.DurationMs = float64(e.lastByteAt.Sub(request.Arrived).Milliseconds())
	}
	writer.Write(entry)
}

func (e *exchange) logOutcome() {
	e.recordRequest()
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	arrived := e.parsed.request.Arrived
	logrus.WithFields(logrus.Fields{
		"attempt": e.parsed.request.Attempt, "route": e.parsed.route.Name, "model": e.parsed.request.Model,
		"replica": e.replicaID, "tries": e.attempts, "prompt": e.parsed.request.PromptTokens,
		"waited_ms": e.sentAt.Sub(arrived).Milliseconds(), "first_ms": e.firstByteAt.Sub(arrived).Milliseconds(),
		"took_ms": e.lastByteAt.Sub(arrived).Milliseconds(), "pause_ms": e.longestGap.Milliseconds(), "problem": e.failureText(),
	}).Debug("request ended")
}
