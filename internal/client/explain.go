package client

import (
	"github.com/sirupsen/logrus"

	"ferryspar/internal/record"
	"ferryspar/internal/replica"
)

func (s *service) reason() string {
	if s.failure == nil {
		return ""
	}
	return s.failure.Error()
}

func (s *service) record() {
	writer := s.handler.Recorder
	if writer == nil {
		return
	}
	request := s.parsedRequest.request
	entry := record.Entry{
		Kind: record.KindRequest, AtMs: writer.Milliseconds(request.Arrived), Attempt: request.Attempt,
		Route: s.parsedRequest.route.Name, Backend: request.Backend, Model: request.Model, Tenant: s.parsedRequest.job.Tenant,
		Prefix: s.parsedRequest.job.Header.Get(replica.HeaderPrefix), Prompt: request.PromptTokens, Output: request.OutputTokens,
		LeftMs: float64(request.Deadline.Sub(request.Arrived).Milliseconds()), Error: s.reason(),
	}
	if !s.firstAt.IsZero() {
		entry.WaitedMs = float64(s.sentAt.Sub(request.Arrived).Milliseconds())
		entry.FirstMs = float64(s.firstAt.Sub(request.Arrived).Milliseconds())
		entry.TookMs = float64(s.lastAt.Sub(request.Arrived).Milliseconds())
	}
	writer.Write(entry)
}

func (s *service) explain() {
	s.record()
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	arrived := s.parsedRequest.request.Arrived
	logrus.WithFields(logrus.Fields{
		"attempt": s.parsedRequest.request.Attempt, "route": s.parsedRequest.route.Name, "model": s.parsedRequest.request.Model,
		"replica": s.chosen, "tries": s.sent, "prompt": s.parsedRequest.request.PromptTokens,
		"waited_ms": s.sentAt.Sub(arrived).Milliseconds(), "first_ms": s.firstAt.Sub(arrived).Milliseconds(),
		"took_ms": s.lastAt.Sub(arrived).Milliseconds(), "pause_ms": s.pause.Milliseconds(), "problem": s.reason(),
	}).Debug("request ended")
}
