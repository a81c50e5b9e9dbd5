package client

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/match"
	"ferryspar/internal/replica"
)

const (
	relayBuffer = 4 << 10
	aliveEvery  = 250 * time.Millisecond
)

// promises are the statuses that tell a client that its request has not run and never will. From a replica they are
// passed on only with its proof, which Forwarder.Send has judged; here they come without one.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

func (s *service) relay(answer *http.Response, report func(match.Outcome)) (bool, *apierror.Error) {
	defer answer.Body.Close()
	if promises[answer.StatusCode] || answer.StatusCode >= 300 && s.headed {
		report(match.OutcomeFailed)
		s.ran = true
		return s.decide(false)
	}
	if failed(answer) && s.parsedRequest.route.IsIdempotent() && s.mayGoOn() {
		report(match.OutcomeFailed)
		s.ran = true
		return true, nil
	}
	resumable := s.parsedRequest.route.RouteType == "streaming" && s.parsedRequest.route.Resumable && answer.StatusCode < 300 &&
		strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	if s.headed && !resumable {
		report(match.OutcomeFailed)
		s.ran = true
		return s.decide(false)
	}
	first, lagging, lastTold := true, false, time.Time{}
	buffer := make([]byte, relayBuffer)
	for {
		amount, err := answer.Body.Read(buffer)
		if amount > 0 {
			now := s.handler.clock()
			gap := s.beat(now)
			if !first && !lagging && s.tooLong(gap) {
				lagging = true
				report(match.OutcomeStalled)
			}
			if first {
				report(match.OutcomeFirstEvent)
				first, lastTold = false, now
			} else if now.Sub(lastTold) > aliveEvery {
				report(match.OutcomeProgress)
				lastTold = now
			}
			if !s.pass(answer, buffer[:amount], resumable) {
				report(match.OutcomeCancelled)
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return s.close(answer, report, resumable)
		}
		if err != nil {
			return s.cut(report, resumable)
		}
	}
}

func failed(answer *http.Response) bool {
	return answer.StatusCode >= http.StatusInternalServerError && answer.StatusCode != http.StatusGatewayTimeout
}

func (s *service) tooLong(gap time.Duration) bool {
	bound := s.parsedRequest.route.TokenGapMs
	return bound > 0 && float64(gap.Milliseconds()) > bound
}

func (s *service) beat(now time.Time) time.Duration {
	if s.firstAt.IsZero() {
		s.firstAt, s.lastAt = now, now
	}
	gap := now.Sub(s.lastAt)
	s.pause, s.lastAt = max(s.pause, gap), now
	return gap
}

func (s *service) head(answer *http.Response) {
	if s.headed {
		return
	}
	s.headed = true
	replica.AnswerHeader(s.writer.Header(), answer.Header)
	if s.handler.Leaving() {
		s.writer.Header().Set("Connection", "close")
	}
	if _, stated := answer.Header["Content-Length"]; stated && answer.ContentLength >= 0 && answer.StatusCode != http.StatusNoContent {
		s.writer.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	if _, dated := s.writer.Header()["Date"]; !dated {
		s.writer.Header()["Date"] = nil
	}
	if _, typed := s.writer.Header()["Content-Type"]; !typed {
		s.writer.Header()["Content-Type"] = nil
	}
	s.writer.WriteHeader(answer.StatusCode)
}

func (s *service) pass(answer *http.Response, content []byte, resumable bool) bool {
	if resumable {
		whole, sound := s.events.Feed(content)
		if !sound {
			return false
		}
		content = whole
	}
	if len(content) == 0 {
		return true
	}
	s.head(answer)
	if _, err := s.writer.Write(content); err != nil {
		return false
	}
	return http.NewResponseController(s.writer).Flush() == nil
}

func (s *service) close(answer *http.Response, report func(match.Outcome), resumable bool) (bool, *apierror.Error) {
	if resumable && !s.events.Whole() {
		return s.cut(report, resumable)
	}
	s.head(answer)
	if answer.StatusCode < 300 {
		report(match.OutcomeServed)
	} else if failed(answer) {
		report(match.OutcomeFailed)
	} else {
		report(match.OutcomeCancelled)
	}
	return false, nil
}

func (s *service) cut(report func(match.Outcome), resumable bool) (bool, *apierror.Error) {
	if s.ctx.Err() != nil {
		report(match.OutcomeCancelled)
		if s.headed {
			panic(http.ErrAbortHandler)
		}
		return false, apierror.New(apierror.ReplicaTimeout, "")
	}
	report(match.OutcomeTruncated)
	s.ran = true
	s.events.Reset()
	if s.headed && !(resumable && s.events.LastID != "") {
		panic(http.ErrAbortHandler)
	}
	return s.decide(false)
}
